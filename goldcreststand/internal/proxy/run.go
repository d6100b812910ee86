package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
)

// maxTries is the largest number of tries of a call.
const maxTries = 3

// hedgePart is the part of a call's time after which a hedge is due at the latest. A hedge that is sent
// when the time is nearly over cannot get its response in time.
const hedgePart = 4

// Reasons for which a try is canceled.
var (
	errDeadline = errs.New("deadline passed")
	errGone     = errs.New("caller closed its connection")
	errLost     = errs.New("another try was used")
)

// run carries out the decisions of a retry.Call. One goroutine drives it; each try has its own.
type run struct {
	h        *Handler
	call     call
	hop      bool
	targets  targets
	svc      *service
	body     *body
	start    time.Time
	deadline time.Time
	core     *retry.Call
	events   chan retry.Event
	// queued holds events that the driving goroutine itself has caused.
	queued []retry.Event
	// over is closed when no more events are taken.
	over chan struct{}
	// first is the place for the first try.
	first grant
	tries []*try
	hedge clockwork.Timer
	out   *http.Request
	// ctx ends at the deadline or when the caller closes its connection.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// timer and unwatch stop what ends ctx.
	timer   clockwork.Timer
	unwatch func() bool

	resp   *http.Response
	err    error
	result string
	// cause is the error type of a rejected call.
	cause string
}

func (x *run) now() time.Time { return x.h.clock.Now() }

// expired reports whether the snapshot is too old to act on, as after a pause of the process while the
// call waited for a connection.
func (x *run) expired() bool {
	return !x.hop && x.h.elapsed.Elapsed() > x.h.snapshots.Load().ValidUntil
}

// post hands an event to the driving goroutine, and reports whether it was taken.
func (x *run) post(ev retry.Event) bool {
	select {
	case x.events <- ev:
		return true
	case <-x.over:
		return false
	}
}

// carry sends the request until there is a verdict.
func (x *run) carry(out *http.Request) (*http.Response, error) {
	x.out = out
	x.ctx, x.cancel = context.WithCancelCause(context.Background())
	x.timer = x.h.clock.AfterFunc(x.deadline.Sub(x.now()), func() { x.cancel(errDeadline) })
	x.unwatch = context.AfterFunc(out.Context(), func() { x.cancel(errGone) })
	if err := x.admit(); err != nil {
		x.reject(err)
		return nil, err
	}
	x.core = retry.New(x.policy(), x.svc.budget, x.deadline)
	x.do(x.core.Handle(retry.CallStarted{At: x.now()}))
	done := x.ctx.Done()
	for !x.core.Final() {
		ev := x.next(&done)
		x.do(x.core.Handle(ev))
	}
	close(x.over)
	if x.hedge != nil {
		x.hedge.Stop()
	}
	return x.resp, x.err
}

// admit waits for the place of the first try. Without one the call was not executed.
func (x *run) admit() *verdict {
	var err error
	x.first, err = x.targets.first(x.ctx)
	var rejected *RejectError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected):
		return &verdict{cause: retry.CauseNoServer, throttled: rejected.Verdict == limit.VerdictTenant}
	case errors.Is(context.Cause(x.ctx), errGone):
		return &verdict{cause: retry.CauseGone}
	default:
		// The deadline passed while the call waited for a slot.
		return &verdict{cause: retry.CauseNoServer}
	}
}

// reject notes for the metrics that the call is rejected.
func (x *run) reject(v *verdict) {
	if v.cause == retry.CauseGone {
		x.result = "gone"
		return
	}
	x.result, x.cause = "rejected", rejectError(v.cause)
}

// policy returns what the call allows. The instance at the end of an extra hop sends the hedges.
func (x *run) policy() retry.Policy {
	p := retry.Policy{Idempotent: x.call.idempotent, MaxTries: maxTries}
	switch {
	case x.hop:
		p.MaxTries = max(maxTries, x.targets.size())
	case !x.body.streamed():
		p.HedgeDelay = min(x.svc.delay.Value(), x.deadline.Sub(x.now())/hedgePart)
	}
	return p
}

// next waits for the next event.
func (x *run) next(done *<-chan struct{}) retry.Event {
	if len(x.queued) > 0 {
		ev := x.queued[0]
		x.queued = x.queued[1:]
		return ev
	}
	var hedge <-chan time.Time
	if x.hedge != nil {
		hedge = x.hedge.Chan()
	}
	select {
	case ev := <-x.events:
		return ev
	case <-hedge:
		x.hedge = nil
		return retry.HedgeTimerFired{At: x.now()}
	case <-*done:
		*done = nil
		if errors.Is(context.Cause(x.ctx), errGone) {
			return retry.CallerDisconnected{At: x.now()}
		}
		return retry.DeadlinePassed{At: x.now()}
	}
}

func (x *run) do(actions []retry.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case retry.SendTry:
			x.send(a)
		case retry.SetHedgeTimer:
			if x.hedge != nil {
				x.hedge.Stop()
			}
			x.hedge = x.h.clock.NewTimer(a.At.Sub(x.now()))
		case retry.CancelTry:
			x.stop(x.tries[a.Try-1])
		case retry.DiscardResponse:
			go x.tries[a.Try-1].drop()
		case retry.ReturnResponse:
			x.returned(x.tries[a.Try-1])
		case retry.RejectCall:
			v := &verdict{cause: a.Cause}
			x.reject(v)
			x.err = v
		case retry.ReportUnknown:
			x.err, x.result = &verdict{cause: a.Cause, executed: true}, "unknown"
		}
	}
}

func (x *run) send(a retry.SendTry) {
	t := &try{x: x, n: a.Try, remaining: a.Remaining, start: x.now(), grant: x.first}
	if len(x.tries) > 0 {
		t.grant = x.targets.next(x.tries)
	}
	x.tries = append(x.tries, t)
	if t.server == nil {
		x.queued = append(x.queued, retry.NoServerAvailable{At: t.start, Try: a.Try})
		return
	}
	t.ctx, t.cancel = context.WithCancelCause(context.Background())
	t.set = x.h.conns.find(t.server.Address, t.server.MaxConns)
	t.outcome = route.TryOutcome{
		Service: x.call.service, Server: t.server.ID, Version: t.server.Version, Route: x.call.route, Start: t.start,
	}
	go t.run()
}

// stop cancels a try for the reason that ends the call, or because another try was used.
func (x *run) stop(t *try) {
	if t.server == nil {
		return
	}
	cause := context.Cause(x.ctx)
	if cause == nil {
		cause = errLost
	}
	t.cancel(cause)
	x.body.interrupt()
}

// returned makes the response of the try that of the call. From now on the try ends with the call.
func (x *run) returned(t *try) {
	x.resp = t.resp
	x.resp.Body = &tryBody{ReadCloser: x.resp.Body, t: t}
	x.resp.Header.Del(headerExecuted)
	if !x.hop {
		// A server's copy of another instance's status would be taken for ours.
		x.resp.Header.Del(headerProxyStatus)
	}
	t.unlink = context.AfterFunc(x.ctx, func() { t.cancel(context.Cause(x.ctx)) })
}

// ended reports the outcome of a try.
func (x *run) ended(t *try, r route.Result) {
	// A canceled try says only that its latency would have been longer.
	if r == route.ResultOK || t.outcome.Latency > x.svc.delay.Value() {
		x.svc.delay.Observe(t.outcome.Latency)
	}
	if x.hop {
		return
	}
	x.h.reporter.add(t.outcome)
}

// close ends the call in every case, also when the copying of the response panicked.
func (x *run) close() {
	if x.cancel != nil {
		x.timer.Stop()
		x.unwatch()
		x.cancel(nil)
	}
	x.body.close()
}
