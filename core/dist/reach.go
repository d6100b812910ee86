package dist

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// maxStrikes is the number of failed calls in a row after which an instance holds that it does not
// reach the platform.
const maxStrikes = 2

// reach is what the instance knows of who reaches the platform. An instance's report is a revision that
// only the instance itself increases: odd when it does not reach the platform.
type reach struct {
	// offline says that this instance does not reach the platform; one call at a time then tries.
	offline bool
	// hung says that calls did not end, so that those that wait since then are worth nothing.
	hung    bool
	since   time.Time
	strikes int
	probe   *entry
	probeAt time.Time
	fails   int
	// announced is the time at which the current report of each instance was learned.
	announced map[ident.InstanceID]time.Time
}

// isOffline reports whether the instance's report, if it is not too old, is that it does not reach the platform.
func (c *Core) isOffline(id ident.InstanceID) bool {
	e, ok := c.entries[ReachKey(id)]
	return ok && e.known%2 == 1 && c.now.Sub(c.reach.announced[id]) < c.cfg.ReachExpiry
}

// expireReach forgets reports that are too old.
func (c *Core) expireReach() {
	for id, at := range c.reach.announced {
		if c.now.Sub(at) >= c.cfg.ReachExpiry {
			delete(c.reach.announced, id)
			if id != c.self {
				c.forget(ReachKey(id))
			}
			c.stale = true
		}
	}
}

// learnReach takes the report of an instance. A report on this instance from its former life is replaced by a
// newer one.
func (c *Core) learnReach(e *entry, from ident.InstanceID) {
	id := ident.InstanceID(e.key.Name)
	if id == c.self && from != c.self {
		c.announceReach()
		return
	}
	if c.reach.announced == nil {
		c.reach.announced = make(map[ident.InstanceID]time.Time)
	}
	c.reach.announced[id] = c.now
	c.stale = true
}

// announceReach sets this instance's report to a newer one and tells those that take over or step back.
func (c *Core) announceReach() {
	k := ReachKey(c.self)
	next := c.entry(k).known + 1
	if (next%2 == 1) != c.reach.offline {
		next++
	}
	held := Held{Key: k, Revision: next}
	c.learn(held, c.self)
	var to []ident.InstanceID
	for _, n := range c.names {
		order := c.services[n]
		if !slices.ContainsFunc(order[:min(c.cfg.Watchers, len(order))], c.isSelf) {
			continue
		}
		for _, w := range c.watchers(order) {
			to = append(to, w.ID)
		}
	}
	c.notify(to, []Held{held})
}

// mayCall reports whether a call of the platform may start. While the platform is out of reach, one call
// at a time tries, so that its return brings no burst.
func (c *Core) mayCall(e *entry) bool {
	if !c.reach.offline {
		return true
	}
	if c.reach.probe != nil || c.now.Before(c.reach.probeAt) {
		return false
	}
	c.reach.probe = e
	return true
}

// reached notes that the platform responded.
func (c *Core) reached() {
	c.reach.strikes = 0
	if !c.reach.offline {
		return
	}
	c.reach.offline, c.reach.fails = false, 0
	c.setSpread(func(e *entry) bool { return e.watch != nil && (!e.watch.pending || c.reach.hung) })
	for _, e := range c.list {
		w := e.watch
		if w == nil {
			continue
		}
		if w.pending && c.reach.hung && w.since.Before(c.reach.since) {
			c.do(Unwatch{Key: e.key})
			w.pending = false
			c.release(e)
		}
		if !w.pending {
			w.failures = 0
			w.due = c.now.Add(c.jitter(c.spread))
		}
	}
	c.reach.hung = false
	c.announceReach()
}

// missed notes that a call of the platform failed.
func (c *Core) missed() {
	c.reach.strikes++
	if c.reach.strikes >= maxStrikes {
		c.loseReach()
	}
}

// loseReach notes that the platform is out of reach, and repeats the report before it expires.
func (c *Core) loseReach() {
	c.reach.fails++
	c.reach.probeAt = c.now.Add(c.backoff(c.reach.fails, c.cfg.Cap))
	if !c.reach.offline {
		c.reach.offline, c.reach.since = true, c.now
		c.announceReach()
		return
	}
	if c.now.Sub(c.reach.announced[c.self]) > c.cfg.ReachExpiry*2/3 {
		c.announceReach()
	}
}

// checkOverdue notices calls that neither end nor fail.
func (c *Core) checkOverdue() {
	if c.reach.offline {
		return
	}
	for _, e := range c.list {
		if e.watch != nil && e.watch.overdue(c.now, c.cfg.Grace) {
			c.reach.hung = true
			c.loseReach()
			return
		}
	}
}
