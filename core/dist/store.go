package dist

import (
	"time"

	"goldcreststand.example/core/ident"
)

// store is the state of the writes of a rollout status to the platform.
type store struct {
	// seen is the newest revision that the platform has shown.
	seen ident.Revision
	// want is the revision that at was set for.
	want  ident.Revision
	call  Call
	at    time.Time
	fails int
}

func (ev Advance) apply(c *Core) {
	o := FromStatus(ev.Status)
	c.addService(ev.Status.Service)
	if c.stale {
		c.assign()
	}
	if c.adopt(o, c.self) {
		c.announce([]Held{{Key: o.Key, Revision: o.Revision}}, o.Key.Service())
	}
}

func (ev Stored) apply(c *Core) {
	o := FromStatus(ev.Status)
	e, ok := c.entries[o.Key]
	if !ok {
		return
	}
	if e.store.call == ev.Call {
		e.store.call, e.store.fails = 0, 0
	}
	e.store.seen = max(e.store.seen, o.Revision)
	if c.adopt(o, c.self) {
		c.announce([]Held{{Key: o.Key, Revision: o.Revision}}, o.Key.Service())
	}
}

func (ev StoreFailed) apply(c *Core) {
	e, ok := c.entries[ev.Key]
	if !ok || e.store.call != ev.Call {
		return
	}
	e.store.call = 0
	e.store.fails++
	e.store.at = c.now.Add(c.backoff(e.store.fails, c.cfg.Cap))
}

// stepStore writes a rollout status that the platform does not hold. The watchers take turns: each leaves
// StoreDelay to the one before it.
func (c *Core) stepStore(e *entry) {
	if e.key.Kind != KindStatus || !e.watches || e.object == nil || e.object.Revision <= e.store.seen {
		return
	}
	if e.store.want != e.object.Revision {
		e.store.want = e.object.Revision
		e.store.at = c.now.Add(time.Duration(e.rank) * c.cfg.StoreDelay)
	}
	if e.store.call != 0 || c.now.Before(e.store.at) || c.reach.offline {
		return
	}
	e.store.call = c.nextCall()
	c.do(Store{Call: e.store.call, Status: e.object.Status})
}
