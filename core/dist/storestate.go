package dist

import (
	"time"

	"goldcreststand.example/core/ident"
)

// storeState is the state of the writes of a rollout status to the platform.
type storeState struct {
	// platformRevision is the newest revision that the platform has returned.
	platformRevision ident.Revision
	// scheduledRevision is the revision for which nextTry was set.
	scheduledRevision ident.Revision
	call              CallID
	nextTry           time.Time
	failures          int
}

func (ev StatusChanged) apply(c *Core) {
	o := FromStatus(ev.Status)
	c.addService(ev.Status.Service)
	if c.rolesStale {
		c.assignRoles()
	}
	if c.applyObject(o, c.self) {
		c.notifyServing([]ObjectRevision{{Key: o.Key, Revision: o.Revision}}, o.Key.Service())
	}
}

func (ev StatusStored) apply(c *Core) {
	o := FromStatus(ev.Status)
	e, ok := c.entries[o.Key]
	if !ok {
		return
	}
	if e.store.call == ev.Call {
		e.store.call, e.store.failures = 0, 0
	}
	e.store.platformRevision = max(e.store.platformRevision, o.Revision)
	if c.applyObject(o, c.self) {
		c.notifyServing([]ObjectRevision{{Key: o.Key, Revision: o.Revision}}, o.Key.Service())
	}
}

func (ev StatusStoreFailed) apply(c *Core) {
	e, ok := c.entries[ev.Key]
	if !ok || e.store.call != ev.Call {
		return
	}
	e.store.call = 0
	e.store.failures++
	e.store.nextTry = c.now.Add(c.backoff(e.store.failures, c.cfg.BackoffCap))
}

// stepStore writes a rollout status that the platform does not have. Each watcher first gives the one before it
// StoreDelay to do so.
func (c *Core) stepStore(e *entry) {
	if e.key.Kind != KindStatus || !e.watches || e.object == nil || e.object.Revision <= e.store.platformRevision {
		return
	}
	if e.store.scheduledRevision != e.object.Revision {
		e.store.scheduledRevision = e.object.Revision
		e.store.nextTry = c.now.Add(time.Duration(e.rank) * c.cfg.StoreDelay)
	}
	if e.store.call != 0 || c.now.Before(e.store.nextTry) || c.reachability.offline {
		return
	}
	e.store.call = c.nextCall()
	c.emit(StoreStatus{Call: e.store.call, Status: e.object.Status})
}
