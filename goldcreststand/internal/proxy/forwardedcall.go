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

// hedgeDelayDivisor limits the hedge delay to a fraction of a call's remaining time. A hedge that is sent
// shortly before the deadline cannot receive its response in time.
const hedgeDelayDivisor = 4

// Reasons for canceling a try.
var (
	errDeadline           = errs.New("deadline passed")
	errCallerDisconnected = errs.New("caller closed its connection")
	errTrySuperseded      = errs.New("response of another try was used")
)

// forwardedCall carries out the decisions of a retry.Call. One goroutine handles its events; each try runs in a
// goroutine of its own.
type forwardedCall struct {
	h      *Handler
	params callParams
	// extraHop is set when the call is forwarded to another instance instead of a backend server.
	extraHop bool
	selector targetSelector
	svcState *serviceState
	body     *requestBody
	start    time.Time
	deadline time.Time
	core     *retry.Call
	events   chan retry.Event
	// pendingEvents holds events that the event-handling goroutine itself has caused.
	pendingEvents []retry.Event
	// eventsClosed is closed when no more events are accepted.
	eventsClosed chan struct{}
	// firstTarget is the target of the first try.
	firstTarget target
	tries       []*try
	hedgeTimer  clockwork.Timer
	outReq      *http.Request
	// ctx ends at the deadline or when the caller closes its connection.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// deadlineTimer cancels ctx at the deadline; stopCallerWatch stops canceling ctx when the caller
	// disconnects.
	deadlineTimer   clockwork.Timer
	stopCallerWatch func() bool

	resp *http.Response
	err  error
	// result is the label under which the metrics count the call.
	result string
	// cause is the Proxy-Status error type of a rejected call.
	cause string
}

func (c *forwardedCall) now() time.Time { return c.h.clock.Now() }

// snapshotExpired reports whether the snapshot is no longer valid, for example because the process was paused
// while the call waited for a connection.
func (c *forwardedCall) snapshotExpired() bool {
	return !c.extraHop && c.h.elapsed.Elapsed() > c.h.snapshots.Load().ValidUntil
}

// post passes an event to the event-handling goroutine and reports whether it was accepted.
func (c *forwardedCall) post(ev retry.Event) bool {
	select {
	case c.events <- ev:
		return true
	case <-c.eventsClosed:
		return false
	}
}

// roundTrip sends the request, with retries and hedges, until there is a response or an error for the caller.
func (c *forwardedCall) roundTrip(outReq *http.Request) (*http.Response, error) {
	c.outReq = outReq
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.deadlineTimer = c.h.clock.AfterFunc(c.deadline.Sub(c.now()), func() { c.cancel(errDeadline) })
	c.stopCallerWatch = context.AfterFunc(outReq.Context(), func() { c.cancel(errCallerDisconnected) })
	if err := c.acquireFirstTarget(); err != nil {
		c.recordRejection(err)
		return nil, err
	}
	c.core = retry.New(c.policy(), c.svcState.retryBudget, c.deadline)
	c.apply(c.core.Handle(retry.CallStarted{At: c.now()}))
	done := c.ctx.Done()
	for !c.core.Final() {
		ev := c.nextEvent(&done)
		c.apply(c.core.Handle(ev))
	}
	close(c.eventsClosed)
	if c.hedgeTimer != nil {
		c.hedgeTimer.Stop()
	}
	return c.resp, c.err
}

// acquireFirstTarget waits for the target of the first try. If it returns an error, the call was not executed.
func (c *forwardedCall) acquireFirstTarget() *callError {
	var err error
	c.firstTarget, err = c.selector.first(c.ctx)
	var rejected *RejectError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected):
		return &callError{
			cause: retry.CauseNoServer, tenantLimited: rejected.Verdict == limit.VerdictTenant, retryAfter: rejected.RetryAfter,
		}
	case errors.Is(context.Cause(c.ctx), errCallerDisconnected):
		return &callError{cause: retry.CauseGone}
	default:
		// The deadline passed while the call waited for a slot.
		return &callError{cause: retry.CauseNoServer}
	}
}

// recordRejection records the rejection for the metrics.
func (c *forwardedCall) recordRejection(err *callError) {
	if err.cause == retry.CauseGone {
		c.result = "gone"
		return
	}
	c.result, c.cause = "rejected", proxyErrorType(err.cause)
}

// policy returns the retry policy of the call. On an extra hop the receiving instance sends the hedges.
func (c *forwardedCall) policy() retry.Policy {
	p := retry.Policy{Idempotent: c.params.idempotent, MaxTries: maxTries}
	switch {
	case c.extraHop:
		p.MaxTries = max(maxTries, c.selector.size())
	case !c.body.streamed():
		p.HedgeDelay = min(c.svcState.hedgeDelay.Value(), c.deadline.Sub(c.now())/hedgeDelayDivisor)
	}
	return p
}

// nextEvent waits for the next event.
func (c *forwardedCall) nextEvent(done *<-chan struct{}) retry.Event {
	if len(c.pendingEvents) > 0 {
		ev := c.pendingEvents[0]
		c.pendingEvents = c.pendingEvents[1:]
		return ev
	}
	var hedge <-chan time.Time
	if c.hedgeTimer != nil {
		hedge = c.hedgeTimer.Chan()
	}
	select {
	case ev := <-c.events:
		return ev
	case <-hedge:
		c.hedgeTimer = nil
		return retry.HedgeTimerFired{At: c.now()}
	case <-*done:
		*done = nil
		if errors.Is(context.Cause(c.ctx), errCallerDisconnected) {
			return retry.CallerDisconnected{At: c.now()}
		}
		return retry.DeadlinePassed{At: c.now()}
	}
}

func (c *forwardedCall) apply(actions []retry.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case retry.SendTry:
			c.startTry(a)
		case retry.SetHedgeTimer:
			if c.hedgeTimer != nil {
				c.hedgeTimer.Stop()
			}
			c.hedgeTimer = c.h.clock.NewTimer(a.At.Sub(c.now()))
		case retry.CancelTry:
			c.cancelTry(c.tries[a.Try-1])
		case retry.DiscardResponse:
			go c.tries[a.Try-1].discardResponse()
		case retry.ReturnResponse:
			c.useResponse(c.tries[a.Try-1])
		case retry.RejectCall:
			err := &callError{cause: a.Cause}
			c.recordRejection(err)
			c.err = err
		case retry.ReportUnknown:
			c.err, c.result = &callError{cause: a.Cause, maybeExecuted: true}, "unknown"
		}
	}
}

func (c *forwardedCall) startTry(a retry.SendTry) {
	t := &try{call: c, number: a.Try, remaining: a.Remaining, start: c.now(), target: c.firstTarget}
	if len(c.tries) > 0 {
		t.target = c.selector.next(c.tries)
	}
	c.tries = append(c.tries, t)
	if t.server == nil {
		c.pendingEvents = append(c.pendingEvents, retry.NoServerAvailable{At: t.start, Try: a.Try})
		return
	}
	t.ctx, t.cancel = context.WithCancelCause(context.Background())
	t.pool = c.h.pools.get(t.server.Address, t.server.MaxConns)
	t.outcome = route.TryOutcome{
		Service: c.params.service, Server: t.server.ID, Version: t.server.Version, Route: c.params.route, Start: t.start,
	}
	go t.run()
}

// cancelTry cancels a try because the call ended or because the response of another try is used.
func (c *forwardedCall) cancelTry(t *try) {
	if t.server == nil {
		return
	}
	cause := context.Cause(c.ctx)
	if cause == nil {
		cause = errTrySuperseded
	}
	t.cancel(cause)
	c.body.interruptRead()
}

// useResponse uses the response of the try for the call and cancels the try when the call ends.
func (c *forwardedCall) useResponse(t *try) {
	c.resp = t.resp
	c.resp.Body = &responseBody{ReadCloser: c.resp.Body, t: t}
	c.resp.Header.Del(headerExecuted)
	c.resp.Header.Del(headerLeaving)
	if !c.extraHop {
		// A Proxy-Status header set by the server would be taken for one of this instance.
		c.resp.Header.Del(headerProxyStatus)
	}
	t.unlinkContext = context.AfterFunc(c.ctx, func() { t.cancel(context.Cause(c.ctx)) })
}

// recordOutcome updates the hedge delay and reports the outcome of a try to control.
func (c *forwardedCall) recordOutcome(t *try, r route.Result) {
	// The latency of an unsuccessful try is only a lower bound.
	if r == route.ResultOK || t.outcome.Latency > c.svcState.hedgeDelay.Value() {
		c.svcState.hedgeDelay.Observe(t.outcome.Latency)
	}
	if c.extraHop {
		return
	}
	c.h.reporter.add(t.outcome)
}

// close releases the resources of the call, also if copying the response panicked.
func (c *forwardedCall) close() {
	if c.cancel != nil {
		c.deadlineTimer.Stop()
		c.stopCallerWatch()
		c.cancel(nil)
	}
	c.body.close()
}
