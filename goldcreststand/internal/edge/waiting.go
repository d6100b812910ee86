package edge

import (
	"slices"
	"time"

	"goldcreststand.example/core/admit"
	"goldcreststand.example/core/spread"
)

// checksPerAttempt is the number of status checks of an attempt to pick a server, for which a call that waits needs room
// in the limit of checks.
const checksPerAttempt = 2

// waitForServer picks a server for the call and counts the call as sent to it. It returns nil if there is none.
func (c *call) waitForServer() *pick {
	for {
		p := c.awaitServer()
		if p == nil || c.claim(p) {
			return p
		}
		// Another call of this instance has taken the free place.
		c.h.checker.release(p)
	}
}

// awaitServer picks a server for the call. If none is acceptable, the call waits as its policy says. It returns nil if
// there is none.
func (c *call) awaitServer() *pick {
	pool, trial := c.pool()
	if trial && c.svc.Stable.Size() > 0 {
		if p := c.h.pickServer(c, pool, checkRounds(0)); p != nil && c.acceptable(p) {
			return p
		} else if p != nil {
			c.h.checker.release(p)
		}
		pool = &c.svc.Stable
	}
	if c.admission.byDeadline {
		return c.waitInQueue(pool)
	}
	return c.waitFixed(pool)
}

// waitFixed picks a server and tries again at a fixed interval, for a part of the target latency.
func (c *call) waitFixed(pool *spread.Pool) *pick {
	p := c.h.pickServer(c, pool, checkRounds(0))
	for n := 1; p == nil || !c.acceptable(p); n++ {
		now, w := c.h.clock.Now(), c.waiting()
		step := c.policy(w, now).Next(w, now)
		if step.Verdict != admit.VerdictWait {
			return c.acceptSlow(p)
		}
		if p != nil {
			c.h.checker.release(p)
		} else if _, unavailable := pool.Unavailable(now); unavailable {
			// Every server is leaving or has asked for a pause, so that waiting would not help.
			return nil
		} else {
			// No local server replied.
			n = max(n, localOnlyAttempts)
		}
		if c.exceedsShare(p) {
			return nil
		}
		select {
		case <-c.h.clock.After(step.Wait):
		case <-c.ctx.Done():
			return nil
		}
		p = c.h.pickServer(c, pool, checkRounds(n))
	}
	return p
}

// acceptSlow returns the pick if the server is merely slow, and nil if it is full. It is used when no acceptable
// server was found in time.
func (c *call) acceptSlow(p *pick) *pick {
	if p == nil || !c.full(p) {
		return p
	}
	c.saturated = true
	c.h.checker.release(p)
	return nil
}

// waiter is a call that waits in the queue of its service.
type waiter struct {
	*call
	pool *spread.Pool
	// entry is nil until the call has joined the queue.
	entry *queueEntry
	// attempts is the number of attempts to pick a server.
	attempts int
	// awake reports that the call was told to pick a server and has not done so.
	awake bool
}

// waitInQueue picks a server, or waits in the queue until there is one, the deadline leaves no time for the call or the
// caller leaves.
func (c *call) waitInQueue(pool *spread.Pool) *pick {
	if c.hasTriedAll(pool) {
		return nil
	}
	w := &waiter{call: c, pool: pool}
	defer w.leave()
	for {
		now, known := c.h.clock.Now(), c.waiting()
		policy, first := c.admission.queue.policy(known, now)
		step := policy.Next(known, now)
		switch {
		case c.ctx.Err() != nil:
			return nil
		case step.Verdict == admit.VerdictHopeless:
			c.refusal = causeHopeless
			return nil
		case !c.h.snapshots.Load().Stop.Accepts(now, c.deadline):
			c.refusal = causeStopping
			return nil
		}
		if w.awake || w.entry == nil && first {
			if p, ended := w.attempt(); p != nil || ended {
				return p
			}
		}
		w.rest(known, step.Wait)
	}
}

// hasTriedAll reports whether no server of the pool is left for another try. The pool does not change while the call waits.
func (c *call) hasTriedAll(pool *spread.Pool) bool {
	tried := c.triedServers()
	left := func(s *spread.Server) bool { return !slices.Contains(tried, s) }
	return !slices.ContainsFunc(pool.Local, left) && !slices.ContainsFunc(pool.Remote, left)
}

// attempt picks a server. It returns no pick if none is acceptable, and whether the wait has ended.
func (w *waiter) attempt() (p *pick, ended bool) {
	w.awake = false
	p = w.pickAcross(w.pool, w.attempts)
	w.attempts++
	if p != nil && w.acceptable(p) {
		w.wakeOthers(p)
		return p, true
	}
	w.saturated = p != nil && w.full(p) || p == nil && w.pool.Full(w.h.clock.Now())
	if p != nil {
		w.h.checker.release(p)
	} else if _, unavailable := w.pool.Unavailable(w.h.clock.Now()); unavailable {
		return nil, true
	} else {
		// No local server replied.
		w.attempts = max(w.attempts, localOnlyAttempts)
	}
	return nil, w.exceedsShare(p)
}

// wakeOthers wakes as many waiting calls as there are free slots at the server besides the one for this call.
func (w *waiter) wakeOthers(p *pick) {
	now := w.h.clock.Now()
	w.admission.queue.serve(now)
	if n := p.load.Free() - 1; n > 0 {
		w.admission.queue.wake(int(n), p.server, now)
	}
}

// rest waits until the call is told to pick a server, its interval has passed or the caller leaves.
func (w *waiter) rest(known admit.Call, interval time.Duration) {
	q := w.admission.queue
	if w.entry == nil {
		w.entry = q.join(known, w.h.clock.Now())
		w.h.metrics.Waits.Add(1)
		w.h.metrics.Waiting.Add(1)
	} else {
		q.sleep(w.entry)
	}
	timer := w.h.clock.NewTimer(interval)
	defer timer.Stop()
	select {
	case w.hint = <-w.entry.Value:
		w.awake = w.hint != nil || w.checksAllowed()
		if w.hint != nil {
			w.h.metrics.Wakes.Add(1)
		}
	case <-timer.Chan():
		w.awake = q.due(w.entry, w.h.clock.Now()) && w.checksAllowed()
	case <-w.ctx.Done():
	}
}

// checksAllowed reports whether the limit of checks has room for an attempt without a known free slot.
func (w *waiter) checksAllowed() bool {
	return w.h.checks.TokensAt(w.h.clock.Now()) >= checksPerAttempt
}

// leave removes the call from the queue.
func (w *waiter) leave() {
	if w.entry != nil {
		w.h.metrics.Waiting.Add(-1)
		w.admission.queue.leave(w.entry, !w.awake, w.hint, w.h.clock.Now())
	}
}
