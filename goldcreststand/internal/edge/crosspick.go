package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/admit"
	"goldcreststand.example/core/cross"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/spread"
)

// pickAcross picks a server in an attempt counted from 0: at home, and in other failure domains if the call gains by it
// and may leave. It returns nil if no server replied.
func (c *call) pickAcross(pool *spread.Pool, attempt int) *pick {
	x, now := c.h.crossings.get(c.service), c.h.clock.Now()
	if c.crossing.since.IsZero() {
		c.crossing.since = now
	}
	hint := c.hint
	if hint != nil && !hint.Local {
		// A free slot elsewhere is no reason to leave.
		c.hint = nil
	}
	home, try := c.homeBefore(x, pool, now)
	var best *pick
	result := cross.HomeFull
	if try {
		best, result = c.tryHome(pool, attempt)
		now = c.h.clock.Now()
	}
	home = c.homeAfter(home, best, result == cross.HomeRoom, now)
	c.recordHome(x, pool, home, result, try, now)
	d := c.decide(x, pool, home, now)
	if !d.Cross {
		if !home.Acceptable {
			c.h.metrics.Kept.Add(d.Reason.String(), 1)
		}
		return best
	}
	if hint != nil && !hint.Local {
		c.hint = hint
	}
	return c.tryAway(x, pool, best, d)
}

// homeBefore returns what is known of the home domain before an attempt there, and whether servers are checked in one.
func (c *call) homeBefore(x *crossing, pool *spread.Pool, now time.Time) (h cross.Home, try bool) {
	local := pool.Local
	if tried := c.triedServers(); len(tried) > 0 {
		local = slices.DeleteFunc(slices.Clone(local), func(s *spread.Server) bool { return slices.Contains(tried, s) })
	}
	h = cross.Home{Servers: len(local), Wait: admit.MinInterval, Slowdown: cross.UsualSlowdown}
	usable := spread.Usable(local, now)
	x.use(func(ctl *cross.Controller) {
		h.Wait = ctl.HomeWait(admit.MinInterval, now.Sub(c.crossing.since), now)
		h.Out = usable && !ctl.Probe(now) || !usable && !fullAtHome(pool, now)
	})
	return h, usable && !h.Out
}

// fullAtHome reports whether a server at home is silent because it is full.
func fullAtHome(pool *spread.Pool, now time.Time) bool {
	return slices.ContainsFunc(pool.Local, func(s *spread.Server) bool { return s.State.Full(now) })
}

// tryHome checks servers at home and returns the best, or nil.
func (c *call) tryHome(pool *spread.Pool, attempt int) (*pick, cross.HomeResult) {
	start, checked := c.h.clock.Now(), false
	rounds := checkRounds(min(attempt, localOnlyAttempts-1))
	best := c.h.pickInRounds(c, pool, rounds, func(seen []*spread.Server, local, _ int, now time.Time, rng *rand.Rand) []*spread.Server {
		out := pool.SampleLocal(seen, local, now, rng)
		checked = checked || len(out) > len(seen)
		return out
	})
	now := c.h.clock.Now()
	replied := func(s *spread.Server) bool { return c.h.checker.replied(s, start) }
	switch {
	case best != nil && c.acceptable(best):
		return best, cross.HomeRoom
	case best != nil, !checked, fullAtHome(pool, now), slices.ContainsFunc(pool.Local, replied):
		return best, cross.HomeFull
	default:
		return nil, cross.HomeSilent
	}
}

// homeAfter returns what is known of the home domain with the best server there, which is nil if no server replied, and
// whether it is acceptable. A server with room that is merely slow takes the call without a wait.
func (c *call) homeAfter(h cross.Home, best *pick, acceptable bool, now time.Time) cross.Home {
	switch {
	case acceptable:
		h.Acceptable, h.Wait, h.Slowdown = true, 0, best.load.Slowdown()
	case best != nil && !c.full(best):
		h.Wait, h.Slowdown = 0, best.load.Slowdown()
	default:
		queued, _ := c.admission.queue.policy(c.waiting(), now)
		h.Wait = max(h.Wait, queued.Wait)
	}
	return h
}

// recordHome records the result of an attempt at home, and counts the call in its first one.
func (c *call) recordHome(x *crossing, pool *spread.Pool, h cross.Home, result cross.HomeResult, tried bool, now time.Time) {
	room := 1.0
	if !h.Acceptable {
		room = c.away(x, pool, now).Room
	}
	first := !c.crossing.counted
	c.crossing.counted = true
	x.use(func(ctl *cross.Controller) {
		if tried {
			ctl.Attempt(result, now)
		}
		if !h.Acceptable {
			ctl.Retain(domains(pool.Remote))
		}
		switch {
		case len(pool.Local) == 0 || h.Out:
			ctl.NoHome(now)
		case first:
			ctl.Arrive(result, room, now)
		default:
			ctl.Wait(result, room, now)
		}
	})
}

// away returns what is known of the other domains.
func (c *call) away(x *crossing, pool *spread.Pool, now time.Time) (a cross.Away) {
	counts := domains(pool.Remote)
	x.use(func(ctl *cross.Controller) { a = ctl.Away(counts, c.bytes(), now) })
	return a
}

// decide decides whether the call may use servers of other domains.
func (c *call) decide(x *crossing, pool *spread.Pool, h cross.Home, now time.Time) cross.Decision {
	w := c.waiting()
	var a cross.Away
	if !h.Acceptable {
		a = c.away(x, pool, now)
	} else {
		a.Servers, a.Slowdown = len(pool.Remote), cross.UsualSlowdown
	}
	d := cross.Decide(cross.Call{
		Work: w.Work, TargetLatency: w.TargetLatency, TargetLeft: w.Arrived.Add(w.TargetLatency).Sub(now),
		DeadlineLeft: w.Deadline.Sub(now), Bytes: c.bytes(),
	}, h, a, c.h.crossings.price)
	c.crossing.decided, c.crossing.decision = !h.Acceptable, d
	return d
}

// tryAway checks servers of other domains and returns the best if it is acceptable, and the one at home otherwise.
func (c *call) tryAway(x *crossing, pool *spread.Pool, home *pick, d cross.Decision) *pick {
	if !d.Reason.HomeOut() && c.h.checks.TokensAt(c.h.clock.Now()) < remoteChecks {
		return home
	}
	checked := 0
	best := c.h.pickInRounds(c, pool, []checkRound{{remote: remoteChecks}}, func(seen []*spread.Server, _, remote int, now time.Time, rng *rand.Rand) []*spread.Server {
		out := c.sampleAway(x, pool, seen, remote, d, now, rng)
		checked = len(out) - len(seen)
		return out
	})
	crossed := best != nil && c.acceptable(best)
	if !d.Reason.HomeOut() {
		x.use(func(ctl *cross.Controller) { ctl.Spend(checked, crossed) })
	}
	if crossed {
		c.h.metrics.Crossings.Add(d.Reason.String(), 1)
	}
	switch {
	case home == nil:
		return best
	case crossed:
		c.h.checker.release(home)
		return best
	case best != nil:
		c.h.checker.release(best)
	}
	return home
}

// sampleAway appends servers of other domains by the room that these have. A call without servers at home uses any.
func (c *call) sampleAway(x *crossing, pool *spread.Pool, seen []*spread.Server, n int, d cross.Decision, now time.Time, rng *rand.Rand) []*spread.Server {
	known := len(seen)
	rooms := make(map[ident.DomainName]float64)
	x.use(func(ctl *cross.Controller) {
		for domain := range domains(pool.Remote) {
			rooms[domain] = ctl.Room(domain, now)
		}
	})
	seen = pool.SampleRemote(seen, n, func(domain ident.DomainName) float64 { return rooms[domain] }, now, rng)
	if len(seen) == known && d.Reason.HomeOut() {
		seen = (&spread.Pool{Remote: pool.Remote}).Sample(seen, 0, n, now, rng)
	}
	return seen
}
