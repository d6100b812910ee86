package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/goldcreststand/internal/http1"
)

// call executes the actions of a retry.Call, in the goroutine of the caller's request.
type call struct {
	h        *Handler
	ctx      context.Context
	r        *http.Request
	id       ident.RequestID
	config   ident.Revision
	route    *rules.Route
	service  ident.ServiceName
	svc      *spread.Service
	body     requestBody
	auth     authorization
	holder   Holder
	arrived  time.Time
	deadline time.Time

	admission admission
	crossing  callCrossing

	// hedge holds the tries that are open at the same time, or is nil if the call has one at a time.
	hedge      *hedging
	retryState *retry.Call
	tries      []*try
	// saturated reports that the best server at the end of the wait was saturated.
	saturated bool
	// refusal is the reason for which the call did not wait for a server any longer, or causeNone.
	refusal cause
	// hint is a server that is known to have a free slot, for the next attempt to pick one, or nil.
	hint *spread.Server
	// final is the response for the caller, or nil.
	final *response
	// cause is the reason for a call without a response. maybeExecuted reports that a server may have executed it.
	cause         retry.Cause
	maybeExecuted bool
}

// try is one transmission of a call to a server.
type try struct {
	server *spread.Server
	conn   *conn
	load   spread.LoadReport
	sent   time.Time
	took   time.Duration
	result route.Result
	resp   *response
	err    error
	// open reports that the try runs in a goroutine of its own. hedge reports that it was sent while another one had no
	// response, canceled that another one got a response or that the call ended.
	open, hedge, canceled bool
}

// run sends the request until the call has a final result.
func (c *call) run() {
	c.hedge = c.newHedging()
	defer c.hedge.end(c.h)
	defer c.abandonTries()
	c.retryState = retry.New(retry.Policy{
		Idempotent: c.route.Kind == rules.KindSafe, MaxTries: c.route.MaxServers, HedgeDelay: c.hedge.after(),
	}, c.svc.RetryBudget, c.deadline)
	queue := []retry.Event{retry.CallStarted{At: c.h.clock.Now()}}
	for len(queue) > 0 {
		ev := queue[0]
		queue = queue[1:]
		for _, a := range c.retryState.Handle(ev) {
			switch a := a.(type) {
			case retry.SendTry:
				queue = append(queue, c.sendTry(a)...)
			case retry.CancelTry:
				c.tries[a.Try-1].cancel()
			case retry.ReturnResponse:
				c.final = c.tries[a.Try-1].resp
			case retry.RejectCall:
				c.cause = a.Cause
			case retry.ReportUnknown:
				c.cause, c.maybeExecuted = a.Cause, true
			}
		}
		if len(queue) == 0 {
			queue = c.awaitTries()
		}
	}
}

// sendTry executes one try and returns its events. With hedging it starts the try and returns no events.
func (c *call) sendTry(a retry.SendTry) []retry.Event {
	n, t := a.Try, &try{hedge: a.Hedge}
	c.tries = append(c.tries, t)
	p := c.nextServer()
	now := c.h.clock.Now()
	if end := c.endEvent(now); end != nil {
		if p != nil {
			c.h.conns.put(p.conn)
		}
		return []retry.Event{end, retry.NoServerAvailable{At: now, Try: n}}
	}
	if p == nil {
		return []retry.Event{retry.NoServerAvailable{At: now, Try: n}}
	}
	if !c.reauthorize() {
		c.h.conns.put(p.conn)
		return []retry.Event{retry.NoServerAvailable{At: now, Try: n}}
	}
	t.server, t.conn, t.load, t.sent = p.server, p.conn, p.load, now
	c.svc.TrialLimiter.RecordCall()
	c.admission.recordSend(c.auth.caller.Name, now)
	if c.hedge != nil {
		return c.startTry(n, t)
	}
	wrote := c.roundTrip(t)
	t.took = c.h.clock.Now().Sub(t.sent)
	evs := c.classify(n, t, wrote)
	c.recordOutcome(t)
	return evs
}

// pool returns the pool for the next try, and whether it is the canary pool.
func (c *call) pool() (*spread.Pool, bool) {
	if len(c.tries) > 1 {
		p := c.retryPool()
		return p, p == &c.svc.Canary
	}
	return c.svc.PickPool(c.route.Name, c.h.rng())
}

// retryPool returns the pool for tries after the first: the stable pool if it has servers.
func (c *call) retryPool() *spread.Pool {
	if c.svc.Stable.Size() > 0 {
		return &c.svc.Stable
	}
	return &c.svc.Canary
}

// triedServers returns the servers of the earlier tries.
func (c *call) triedServers() []*spread.Server {
	out := make([]*spread.Server, 0, len(c.tries))
	for _, t := range c.tries {
		if t.server != nil {
			out = append(out, t.server)
		}
	}
	return out
}

// endEvent returns the event of a disconnected caller or a passed deadline, or nil. The end of a stop is the deadline of all calls.
func (c *call) endEvent(now time.Time) retry.Event {
	switch {
	case c.callerDisconnected():
		return retry.CallerDisconnected{At: now}
	case c.isStopped(), !now.Before(c.deadline):
		return retry.DeadlinePassed{At: now}
	default:
		return nil
	}
}

// roundTrip sends the request on the try's connection and reads the response. It reports whether any byte was written.
func (c *call) roundTrip(t *try) bool {
	req := c.prepareTry(t)
	if req == nil {
		return false
	}
	return c.endRoundTrip(t, c.exchange(t.conn, req, c.auth.caller.Name))
}

// prepareTry encodes the request of a try, or returns nil if its connection cannot be used.
func (c *call) prepareTry(t *try) *serverRequest {
	c.h.dialect.Prepare(c.r.Header, t.server.ID, c.deadline.Sub(t.sent), c.auth.caller)
	if err := t.conn.nc.SetDeadline(c.deadline); err != nil {
		c.h.conns.drop(t.conn)
		t.err = err
		return nil
	}
	return encodeRequest(c.r, c.body, c.id)
}

// exchanged is the result of sending a request on a connection.
type exchanged struct {
	resp *response
	// wrote reports that a byte was written.
	wrote bool
	err   error
}

// exchange sends the request of the organisation and reads the response. It uses nothing of the call that changes while a try is open.
func (c *call) exchange(cn *conn, req *serverRequest, sender ident.TenantName) exchanged {
	// The server cancels the request when its connection closes.
	stop := context.AfterFunc(c.ctx, cn.close)
	endUsage := c.h.beginUsage(sender)
	resp, wrote, err := cn.roundTrip(c.h.dialect, req)
	endUsage(wrote, resp)
	cn.unusable = !stop() || cn.unusable
	return exchanged{resp, wrote, err}
}

// endRoundTrip records the response and ends the use of the connection. It reports whether any byte was written.
func (c *call) endRoundTrip(t *try, x exchanged) bool {
	cn, resp := t.conn, x.resp
	t.resp, t.err = resp, x.err
	// A misdirected call was answered by another server.
	if resp != nil && resp.status != http.StatusMisdirectedRequest {
		c.h.recordNotice(t.server, resp.notice, c.h.clock.Now())
	}
	if resp == nil || resp.rest == nil {
		c.h.conns.put(cn)
		return x.wrote
	}
	resp.rest = &restReader{ReadCloser: resp.rest, onClose: func() { c.h.conns.drop(cn) }}
	return x.wrote
}

// restReader reads the rest of a long response and closes its connection afterwards.
type restReader struct {
	io.ReadCloser
	onClose func()
}

// Close closes the response and its connection.
func (r *restReader) Close() error {
	r.onClose()
	return r.ReadCloser.Close()
}

// release ends the use of memory and connections for the call.
func (c *call) release() {
	c.body.release(c.h.bodies)
	for _, t := range c.tries {
		if t.resp == nil {
			continue
		}
		t.resp.release(c.h.conns.long)
		// The body of a response that was not returned is not read to its end.
		t.resp.closeRest()
	}
}

// classify sets the result of the try and returns its events.
func (c *call) classify(n retry.TryNumber, t *try, wrote bool) []retry.Event {
	now := c.h.clock.Now()
	switch {
	case t.err == nil && t.resp.notExecuted:
		t.result = route.ResultShed
		return []retry.Event{retry.TryShed{At: now, Try: n}}
	case t.err == nil && t.resp.status >= http.StatusInternalServerError:
		t.result = route.ResultFailed
		return []retry.Event{retry.ErrorResponseReceived{At: now, Try: n}}
	case t.err == nil:
		t.result = route.ResultOK
		return []retry.Event{retry.ResponseReceived{At: now, Try: n}}
	case !wrote:
		t.result = route.ResultRefused
		return []retry.Event{retry.ConnectFailed{At: now, Try: n}}
	}
	broken := retry.ConnectionBroken{At: now, Try: n}
	switch end := c.endEvent(now).(type) {
	case nil:
		t.result = route.ResultBroken
		return []retry.Event{broken}
	case retry.CallerDisconnected:
		t.result = route.ResultCanceled
		return []retry.Event{end, broken}
	default:
		t.result = route.ResultTimeout
		if c.isStopped() {
			t.result = route.ResultCanceled
		}
		return []retry.Event{end, broken}
	}
}

// Weights of failures in the failure score of a server.
const (
	failureWeight = 1.0
	shedWeight    = 0.3
)

// recordOutcome updates the server's state and reports the outcome of the try.
func (c *call) recordOutcome(t *try) {
	st := t.server.State
	now := c.h.clock.Now()
	switch t.result {
	case route.ResultOK, route.ResultCanceled:
	case route.ResultShed:
		st.RecordFailure(now, shedWeight)
		if t.resp.status == http.StatusMisdirectedRequest {
			st.BackOff(now, misdirectedBackoff)
		}
	case route.ResultFailed, route.ResultRefused, route.ResultBroken, route.ResultTimeout:
		st.RecordFailure(now, failureWeight)
	}
	// Versions are compared by their latency at full speed, which excludes the current slowdown of the server.
	fullSpeed := time.Duration(float64(t.took) / max(1, t.load.Slowdown()))
	if t.result == route.ResultOK {
		c.h.durations.Observe(c.route.Name, fullSpeed, t.took, now)
	}
	c.recordSilence(t, now)
	c.recordBytes(t)
	c.h.queues.slotFreed(c.service, t.server, now)
	c.h.sink.Observe(route.TryOutcome{
		Service: c.service, Server: t.server.ID, Version: t.server.Version, Route: c.route.Name, Result: t.result,
		Start: t.sent, Latency: fullSpeed,
	})
}

// callerDisconnected reports whether the call ended because the caller closed its connection.
func (c *call) callerDisconnected() bool {
	return errors.Is(c.ctx.Err(), context.Canceled) && !c.isStopped()
}

// isStopped reports whether the call ended because the time for the stop of this instance has passed.
func (c *call) isStopped() bool { return errors.Is(context.Cause(c.ctx), http1.ErrStopping) }
