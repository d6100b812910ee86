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
)

// call carries out the decisions of a retry.Call. The goroutine of the caller's request drives it.
type call struct {
	h        *Handler
	ctx      context.Context
	r        *http.Request
	id       ident.RequestID
	config   ident.Revision
	route    *rules.Route
	service  ident.ServiceName
	svc      *spread.Service
	body     []byte
	arrived  time.Time
	deadline time.Time

	core  *retry.Call
	tries []*attempt
	// crowded says that no server had room.
	crowded bool
	// final is the response for the caller, or nil.
	final *response
	// cause and executed say how the call ended without a response.
	cause    retry.Cause
	executed bool
}

// attempt is one try of a call.
type attempt struct {
	server  *spread.Server
	reading spread.LoadReport
	sent    time.Time
	took    time.Duration
	result  route.Result
	resp    *response
	err     error
}

// run sends the request until there is a verdict.
func (c *call) run() {
	c.core = retry.New(retry.Policy{Idempotent: c.route.Kind == rules.KindSafe, MaxTries: c.route.MaxServers}, c.svc.RetryBudget, c.deadline)
	queue := []retry.Event{retry.CallStarted{At: c.h.clock.Now()}}
	for len(queue) > 0 {
		ev := queue[0]
		queue = queue[1:]
		for _, a := range c.core.Handle(ev) {
			switch a := a.(type) {
			case retry.SendTry:
				queue = append(queue, c.send(a.Try)...)
			case retry.ReturnResponse:
				c.final = c.tries[a.Try-1].resp
			case retry.RejectCall:
				c.cause = a.Cause
			case retry.ReportUnknown:
				c.cause, c.executed = a.Cause, true
			}
		}
	}
}

// send carries out one try and returns what happened.
func (c *call) send(n retry.TryNumber) []retry.Event {
	t := new(attempt)
	c.tries = append(c.tries, t)
	p := c.admit()
	now := c.h.clock.Now()
	if ended := c.ended(now); ended != nil {
		if p != nil {
			c.h.links.put(p.link)
		}
		return []retry.Event{ended, retry.NoServerAvailable{At: now, Try: n}}
	}
	if p == nil {
		return []retry.Event{retry.NoServerAvailable{At: now, Try: n}}
	}
	t.server, t.reading, t.sent = p.server, p.reading, now
	c.svc.TrialLimiter.RecordCall()
	wrote := c.exchange(t, p.link)
	t.took = c.h.clock.Now().Sub(t.sent)
	evs := c.judge(n, t, wrote)
	c.observe(t)
	return evs
}

const (
	// waitPart is the part of a route's objective for which a call waits for a server that has room and is
	// fast enough; urgent calls, by the service's routes, wait for urgentWaitPart. The rest is for the work; a
	// refusal by then leaves the caller time to come back.
	waitPart       = 0.2
	urgentWaitPart = 0.4
	// waitStep is the time between two looks for a server with room.
	waitStep = 10 * time.Millisecond
)

// admit chooses a server with room for the call, and waits for one for a part of the route's objective. It
// returns nil when there is none.
func (c *call) admit() *pick {
	pool, trial := c.pool()
	if trial && c.svc.Stable.Size() > 0 {
		if p := c.h.choose(c, pool, rounds(0)); p != nil && c.suits(p) {
			return p
		} else if p != nil {
			c.h.links.put(p.link)
		}
		pool = &c.svc.Stable
	}
	part := waitPart
	if c.route.Priority < c.svc.LowestPriority {
		part = urgentWaitPart
	}
	until := c.arrived.Add(min(time.Duration(part*float64(c.route.TargetLatency)), c.deadline.Sub(c.arrived)))
	p := c.h.choose(c, pool, rounds(0))
	for n := 1; p == nil || !c.suits(p); n++ {
		if !c.h.clock.Now().Add(waitStep).Before(until) {
			return c.last(p)
		}
		if p != nil {
			c.h.links.put(p.link)
		} else {
			// No near server replied.
			n = max(n, farLook)
		}
		select {
		case <-c.h.clock.After(waitStep):
		case <-c.ctx.Done():
			return nil
		}
		p = c.h.choose(c, pool, rounds(n))
	}
	return p
}

// suits reports whether the server has room for the call and is fast enough for its objective. A call that no
// server could serve in time takes any with room.
func (c *call) suits(p *pick) bool {
	if p.reading.Saturated() {
		return false
	}
	left := c.route.TargetLatency - c.h.clock.Now().Sub(c.arrived)
	work := c.h.works.Estimate(c.route.Name)
	return time.Duration(float64(work)*p.reading.Slowdown()) <= left || work > left
}

// last decides about a call for which there was no better server in time: it takes a slow one with room.
func (c *call) last(p *pick) *pick {
	if p == nil || !p.reading.Saturated() {
		return p
	}
	c.crowded = true
	c.h.links.put(p.link)
	return nil
}

// pool returns the servers for the next try. A call that failed at a new version is sent to the others.
func (c *call) pool() (*spread.Pool, bool) {
	if len(c.tries) > 1 && c.svc.Stable.Size() > 0 {
		return &c.svc.Stable, false
	}
	return c.svc.PickPool(c.route.Name, c.h.rng())
}

// skip returns the servers that were tried.
func (c *call) skip() []*spread.Server {
	out := make([]*spread.Server, 0, len(c.tries))
	for _, t := range c.tries {
		if t.server != nil {
			out = append(out, t.server)
		}
	}
	return out
}

// ended returns the event that ends the call early, or nil.
func (c *call) ended(now time.Time) retry.Event {
	switch {
	case c.ctx.Err() != nil:
		return retry.CallerDisconnected{At: now}
	case !now.Before(c.deadline):
		return retry.DeadlinePassed{At: now}
	default:
		return nil
	}
}

// exchange sends the request on the link and reads the response. It reports whether a byte was handed to
// the connection.
func (c *call) exchange(t *attempt, l *link) bool {
	c.h.dialect.Prepare(c.r.Header, t.server.ID, c.deadline.Sub(t.sent))
	o := encode(c.r, c.body, c.id)
	if err := l.nc.SetDeadline(c.deadline); err != nil {
		c.h.links.drop(l)
		t.err = err
		return false
	}
	// The server drops the request when its connection closes.
	release := context.AfterFunc(c.ctx, l.close)
	resp, wrote, err := l.exchange(c.h.dialect, o)
	l.spent = !release() || l.spent
	t.resp, t.err = resp, err
	if resp == nil || resp.rest == nil {
		c.h.links.put(l)
		return wrote
	}
	resp.rest = &tail{ReadCloser: resp.rest, end: func() { c.h.links.drop(l) }}
	return wrote
}

// tail is the rest of a long response. Its link ends with it.
type tail struct {
	io.ReadCloser
	end func()
}

// Close closes the response and its link.
func (t *tail) Close() error {
	t.end()
	return t.ReadCloser.Close()
}

// judge returns the events that the try's end means, and sets its result.
func (c *call) judge(n retry.TryNumber, t *attempt, wrote bool) []retry.Event {
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
	switch ended := c.ended(now).(type) {
	case nil:
		t.result = route.ResultBroken
		return []retry.Event{broken}
	case retry.CallerDisconnected:
		t.result = route.ResultCanceled
		return []retry.Event{ended, broken}
	default:
		t.result = route.ResultTimeout
		return []retry.Event{ended, broken}
	}
}

// Weights of failures in the memory of a server.
const (
	failedDoubt = 1.0
	shedDoubt   = 0.3
)

// observe lets the instance remember how the try ended.
func (c *call) observe(t *attempt) {
	m := t.server.State
	now := c.h.clock.Now()
	switch t.result {
	case route.ResultOK, route.ResultCanceled:
	case route.ResultShed:
		m.RecordFailure(now, shedDoubt)
		if t.resp.status == http.StatusMisdirectedRequest {
			m.BackOff(now, goneRest)
		}
	case route.ResultFailed, route.ResultRefused, route.ResultBroken, route.ResultTimeout:
		m.RecordFailure(now, failedDoubt)
	}
	// Versions are compared by the time that they would take at full speed.
	work := time.Duration(float64(t.took) / max(1, t.reading.Slowdown()))
	if t.result == route.ResultOK {
		c.h.works.Observe(c.route.Name, work)
	}
	c.h.sink.Observe(route.TryOutcome{
		Service: c.service, Server: t.server.ID, Version: t.server.Version, Route: c.route.Name, Result: t.result,
		Start: t.sent, Latency: work,
	})
}

// gone reports whether the call ended because the caller closed its connection.
func (c *call) gone() bool { return errors.Is(c.ctx.Err(), context.Canceled) }
