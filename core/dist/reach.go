package dist

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// maxStrikes is the number of failed calls in a row after which an instance holds that it does not
// reach the platform.
const maxStrikes = 2

// reach is what the instance knows of who reaches the platform. An instance's word is a revision that
// only the instance itself increases: odd when it does not reach the platform.
type reach struct {
	// blind says that this instance does not reach the platform; one call at a time then tries.
	blind bool
	// hung says that calls did not end, so that those that wait since then are worth nothing.
	hung    bool
	since   time.Time
	strikes int
	probe   *entry
	probeAt time.Time
	fails   int
	// told is the time at which the current word of each instance was learned.
	told map[ident.InstanceID]time.Time
}

// isBlind reports whether the instance's word, if it is not too old, is that it does not reach the platform.
func (c *Core) isBlind(id ident.InstanceID) bool {
	e, ok := c.entries[ReachKey(id)]
	return ok && e.known%2 == 1 && c.now.Sub(c.reach.told[id]) < c.cfg.ReachExpiry
}

// expireReach forgets words that are too old.
func (c *Core) expireReach() {
	for id, at := range c.reach.told {
		if c.now.Sub(at) >= c.cfg.ReachExpiry {
			delete(c.reach.told, id)
			if id != c.self {
				c.forget(ReachKey(id))
			}
			c.stale = true
		}
	}
}

// heardReach takes the word of an instance. A word on this instance from its former life is replaced by a
// newer one.
func (c *Core) heardReach(e *entry, from ident.InstanceID) {
	id := ident.InstanceID(e.key.Name)
	if id == c.self && from != c.self {
		c.sayReach()
		return
	}
	if c.reach.told == nil {
		c.reach.told = make(map[ident.InstanceID]time.Time)
	}
	c.reach.told[id] = c.now
	c.stale = true
}

// sayReach sets this instance's word to a newer one and tells those that take over or step back.
func (c *Core) sayReach() {
	k := ReachKey(c.self)
	next := c.entry(k).known + 1
	if (next%2 == 1) != c.reach.blind {
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
	if !c.reach.blind {
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
	if !c.reach.blind {
		return
	}
	c.reach.blind, c.reach.fails = false, 0
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
	c.sayReach()
}

// missed notes that a call of the platform failed.
func (c *Core) missed() {
	c.reach.strikes++
	if c.reach.strikes >= maxStrikes {
		c.loseReach()
	}
}

// loseReach notes that the platform is out of reach, and repeats the word before it expires.
func (c *Core) loseReach() {
	c.reach.fails++
	c.reach.probeAt = c.now.Add(c.backoff(c.reach.fails, c.cfg.Cap))
	if !c.reach.blind {
		c.reach.blind, c.reach.since = true, c.now
		c.sayReach()
		return
	}
	if c.now.Sub(c.reach.told[c.self]) > c.cfg.ReachExpiry*2/3 {
		c.sayReach()
	}
}

// checkOverdue notices calls that neither end nor fail.
func (c *Core) checkOverdue() {
	if c.reach.blind {
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
