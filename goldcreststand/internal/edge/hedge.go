package edge

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/admit"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/lib/guard"
)

// hedging holds the open tries of a call that may have two at a time. The goroutine of the call decides; each try and the
// choice of a server for the second one run in goroutines of their own, which touch nothing of the call that changes.
// nil is a call with one try at a time.
type hedging struct {
	// delay is the silence after which a second try is sent.
	delay time.Duration
	timer clockwork.Timer
	// results has room for all tries, so that they never block.
	results chan tryResult
	open    int
	// picks receives the server for the second try. over is closed when the call has ended.
	picks chan secondPick
	over  chan struct{}
	// next is the server for the second try, until it is sent.
	next *pick
}

// secondPick is a server for a second try.
type secondPick struct {
	// pick is nil if there is no server.
	*pick
	// tries is the number of tries when the choice began. It is out of date once another try has been sent, perhaps to
	// the same server.
	tries int
}

// tryResult is the end of a try.
type tryResult struct {
	number retry.TryNumber
	exchanged
}

// newHedging returns the hedging of a safe call that waits by its deadline, or nil.
func (c *call) newHedging() *hedging {
	if !c.admission.byDeadline || c.route.Kind != rules.KindSafe || c.route.MaxServers < 2 {
		return nil
	}
	delay := c.hedgeDelay()
	if delay == 0 {
		return nil
	}
	return &hedging{
		delay: delay, timer: c.h.clock.NewTimer(time.Hour), results: make(chan tryResult, c.route.MaxServers),
		picks: make(chan secondPick), over: make(chan struct{}),
	}
}

// hedgeDelay returns the silence after which a try that is sent now is followed by a second one, or 0.
func (c *call) hedgeDelay() time.Duration {
	return admit.HedgeDelay(c.waiting(), c.h.clock.Now(), c.h.durations.High(c.route.Name))
}

// after returns the silence after which a second try is sent, or 0 for none.
func (h *hedging) after() time.Duration {
	if h == nil {
		return 0
	}
	return h.delay
}

// end ends what is left when the call has its final result. No try is open then.
func (h *hedging) end(edge *Handler) {
	if h == nil {
		return
	}
	h.timer.Stop()
	close(h.over)
	h.dropNext(edge)
}

// abandonTries cancels the tries that are open although the call has ended, which happens only after a panic.
func (c *call) abandonTries() {
	h := c.hedge
	if h == nil || h.open == 0 {
		return
	}
	for _, t := range c.tries {
		t.cancel()
	}
	go func() {
		for range h.open {
			r := <-h.results
			c.discard(c.tries[r.number-1], r.exchanged)
		}
	}()
}

// discard closes the connection of a canceled try and drops its response.
func (c *call) discard(t *try, x exchanged) {
	c.h.conns.drop(t.conn)
	if x.resp != nil {
		x.resp.release(c.h.conns.long)
		x.resp.closeRest()
	}
}

// dropNext returns the connection to a server that was picked for a second try which is not sent.
func (h *hedging) dropNext(edge *Handler) {
	if h.next != nil {
		edge.conns.put(h.next.conn)
		h.next = nil
	}
}

// nextServer returns the server for the next try, or nil. While another try is open it does not wait.
func (c *call) nextServer() *pick {
	switch h := c.hedge; {
	case h == nil || h.open == 0:
		return c.waitForServer()
	default:
		p := h.next
		h.next = nil
		return p
	}
}

// startTry starts a try and returns its events if it ended at once.
func (c *call) startTry(n retry.TryNumber, t *try) []retry.Event {
	h := c.hedge
	req := c.prepareTry(t)
	if req == nil {
		return c.endTry(tryResult{number: n, exchanged: exchanged{err: t.err}})
	}
	if t.hedge {
		c.h.metrics.Hedges.Add(1)
	}
	h.open++
	t.open = true
	if d := c.hedgeDelay(); d > 0 {
		h.timer.Reset(d)
	} else {
		h.timer.Stop()
	}
	cn, sender := t.conn, c.auth.caller.Name
	go func() {
		// After a panic the server may have executed the request.
		x := exchanged{wrote: true}
		if failure := guard.Call(func() { x = c.exchange(cn, req, sender) }); failure != nil {
			x.err, cn.unusable = failure, true
		}
		h.results <- tryResult{n, x}
	}()
	return nil
}

// awaitTries waits for the next event of the open tries. It returns none if no try is open.
func (c *call) awaitTries() []retry.Event {
	h := c.hedge
	if h == nil {
		return nil
	}
	h.dropNext(c.h)
	for h.open > 0 {
		select {
		case r := <-h.results:
			h.open--
			return c.endTry(r)
		case <-h.timer.Chan():
			c.startPick()
		case p := <-h.picks:
			if p.pick != nil && p.tries == len(c.tries) && c.claim(p.pick) {
				h.next = p.pick
				return []retry.Event{retry.HedgeTimerFired{At: c.h.clock.Now()}}
			}
			if p.pick != nil {
				c.h.conns.put(p.conn)
			}
		}
	}
	return nil
}

// startPick picks a server for a second try, if there is time for one. It does not hold up the response to the first.
func (c *call) startPick() {
	now := c.h.clock.Now()
	if c.hedge.open != 1 || len(c.tries) >= c.route.MaxServers || now.Add(c.h.durations.Estimate(c.route.Name)).After(c.deadline) ||
		c.h.checks.TokensAt(now) < checksPerAttempt {
		return
	}
	h, copied := c.hedge, *c
	copied.hint = nil
	go func() {
		p := secondPick{tries: len(copied.tries)}
		if failure := guard.Call(func() { p.pick = copied.pickSecond() }); failure != nil {
			copied.h.log.Failure("choice of a second server failed", logrus.Fields{"request": copied.id, "error": failure.Error()})
		}
		select {
		case h.picks <- p:
		case <-h.over:
			if p.pick != nil {
				copied.h.conns.put(p.conn)
			}
		}
	}()
}

// pickSecond picks a server for a second try, without waiting for one.
func (c *call) pickSecond() *pick {
	p := c.pickAcross(c.retryPool(), 0)
	if p != nil && !c.acceptable(p) {
		c.h.conns.put(p.conn)
		return nil
	}
	return p
}

// cancel closes the connection of an open try, so that the server cancels the request. The connection of a try that has
// ended may be in use for another call.
func (t *try) cancel() {
	if t.open {
		t.canceled = true
		t.conn.close()
	}
}

// endTry records the end of a try and returns its events. The connection of a canceled try is never used again, and its
// response, which may have arrived meanwhile, is discarded.
func (c *call) endTry(r tryResult) []retry.Event {
	t, now := c.tries[r.number-1], c.h.clock.Now()
	t.took, t.open = now.Sub(t.sent), false
	defer c.recordOutcome(t)
	if t.canceled {
		c.discard(t, r.exchanged)
		t.result, t.err = route.ResultCanceled, r.err
		return []retry.Event{retry.ConnectionBroken{At: now, Try: r.number}}
	}
	if t.err == nil {
		c.endRoundTrip(t, r.exchanged)
	}
	evs := c.classify(r.number, t, r.wrote)
	if t.hedge && t.result == route.ResultOK {
		c.h.metrics.HedgeWins.Add(1)
	}
	return evs
}

// recordSilence records a try that was given up without a response.
func (c *call) recordSilence(t *try, now time.Time) {
	if t.result != route.ResultTimeout && !t.canceled || c.callerDisconnected() {
		return
	}
	high := c.h.durations.High(c.route.Name)
	c.h.durations.ObserveSilence(c.route.Name, t.took)
	if high > 0 && t.took >= high && t.server.State.SilentCall(now) {
		c.svc.Silence.Record(t.server.State, now)
	}
}
