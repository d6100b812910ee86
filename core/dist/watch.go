package dist

import (
	"time"

	"goldcreststand.example/core/ident"
)

// watch is the state of the calls of the platform for one object.
type watch struct {
	call    Call
	pending bool
	since   time.Time
	wait    time.Duration
	tag     Tag
	// revision is the revision of the tag's version.
	revision ident.Revision
	// due is the time of the next call.
	due      time.Time
	failures int
}

// overdue reports whether the call should have ended by now.
func (w *watch) overdue(now time.Time, grace time.Duration) bool {
	return w.pending && now.Sub(w.since) > w.wait+grace
}

// stepWatch starts or ends the call for the object.
func (c *Core) stepWatch(e *entry) {
	if !e.watches {
		c.endWatch(e)
		return
	}
	if e.watch == nil {
		e.watch = &watch{due: c.now.Add(c.jitter(c.spread))}
	}
	if e.watch.pending && !c.isHung(e.watch) || c.now.Before(e.watch.due) || !c.mayCall(e) {
		return
	}
	c.startWatch(e)
}

// isHung reports whether the call waits since before calls ceased to end. It may be replaced by one that
// tries whether the platform responds again: an instance whose only call hangs would notice that only
// after the wait of the call.
func (c *Core) isHung(w *watch) bool {
	return c.reach.offline && c.reach.hung && w.since.Before(c.reach.since)
}

func (c *Core) startWatch(e *entry) {
	w := e.watch
	w.call, w.pending, w.since, w.wait = c.nextCall(), true, c.now, c.cfg.Wait
	// A call that does not wait tells at once that the platform is back.
	if w.tag == "" || c.reach.offline {
		w.wait = 0
	} else if c.short == nil {
		c.short, w.wait = e, c.cfg.ShortWait
	}
	c.do(Watch{Key: e.key, Call: w.call, Tag: w.tag, Wait: w.wait})
}

// stepShort gives one of the waiting calls the short wait when none has it.
func (c *Core) stepShort() {
	if c.short != nil || c.reach.offline {
		return
	}
	for _, e := range c.list {
		if e.watch != nil && e.watch.pending && e.watch.tag != "" {
			c.startWatch(e)
			return
		}
	}
}

func (c *Core) endWatch(e *entry) {
	if e.watch == nil {
		return
	}
	if e.watch.pending {
		c.do(Unwatch{Key: e.key})
	}
	c.release(e)
	e.watch = nil
}

// release gives up what the entry's call had for itself.
func (c *Core) release(e *entry) {
	if c.short == e {
		c.short = nil
	}
	if c.reach.probe == e {
		c.reach.probe = nil
	}
}

// ended marks the call as ended and returns its entry, or nil when the call has been replaced.
func (c *Core) ended(k Key, call Call) *entry {
	e, ok := c.entries[k]
	if !ok || e.watch == nil || !e.watch.pending || e.watch.call != call {
		return nil
	}
	e.watch.pending = false
	c.release(e)
	return e
}

func (ev Read) apply(c *Core) {
	if e := c.ended(ev.Object.Key, ev.Call); e != nil {
		c.reached()
		c.advanceWatch(e, ev.Tag, ev.Object.Revision)
	}
	if e, ok := c.entries[ev.Object.Key]; ok {
		e.store.seen = max(e.store.seen, ev.Object.Revision)
	}
	if c.adopt(ev.Object, c.self) {
		c.announce([]Held{{Key: ev.Object.Key, Revision: ev.Object.Revision}}, ev.Object.Key.Service())
	}
}

// advanceWatch takes the tag of a version that was read. A replica of the platform that lags shows an
// older version, which differs from the tag's at every call; it is read again only after a delay.
func (c *Core) advanceWatch(e *entry, tag Tag, r ident.Revision) {
	w := e.watch
	if w.tag != "" && r <= w.revision {
		if r == w.revision {
			w.tag = tag
		}
		c.delayWatch(e)
		return
	}
	w.tag, w.revision, w.failures, w.due = tag, r, 0, c.now
}

// moves reports whether the service's routing table asks for a version rollout. Until then nobody creates
// a rollout status; from then on an operator may roll back at any time.
func (c *Core) moves(s ident.ServiceName) bool {
	e, ok := c.entries[TableKey(s)]
	return ok && e.object != nil && e.object.Table != nil && e.object.Table.Rollout != nil
}

// hurryStatus reads an absent rollout status soon, because a rollout has been asked for.
func (c *Core) hurryStatus(s ident.ServiceName) {
	e, ok := c.entries[StatusKey(s)]
	if ok && e.watch != nil && !e.watch.pending && e.watch.due.After(c.now.Add(c.cfg.Cap)) {
		e.watch.due = c.now.Add(c.jitter(c.cfg.Base))
	}
}

func (c *Core) delayWatch(e *entry) {
	e.watch.failures++
	e.watch.due = c.now.Add(c.backoff(e.watch.failures, c.cfg.Cap))
}

func (ev Listed) apply(c *Core) {
	if e := c.ended(CatalogKey(), ev.Call); e != nil {
		c.reached()
		// A list of names has no revision. The delay bounds the calls when replicas differ.
		e.watch.tag, e.watch.failures, e.watch.due = ev.Tag, 0, c.now.Add(c.cfg.Base)
	}
	for _, n := range ev.Services {
		c.learn(Held{Key: TableKey(n)}, c.self)
	}
}

func (ev Unchanged) apply(c *Core) {
	e := c.ended(ev.Key, ev.Call)
	if e == nil {
		return
	}
	c.reached()
	w := e.watch
	w.failures, w.due = 0, c.now
	// The delay bounds the calls of a platform that does not wait.
	if early := w.since.Add(w.wait / 2); c.now.Before(early) {
		w.due = early
	}
}

func (ev Failed) apply(c *Core) {
	e := c.ended(ev.Key, ev.Call)
	if e == nil {
		return
	}
	switch ev.Failure {
	case FailureUnreachable:
		c.missed()
	case FailureAbsent:
		c.reached()
		if ev.Key.Kind == KindStatus && !c.moves(ev.Key.Service()) {
			e.watch.due = c.now.Add(c.cfg.AbsentDelay/2 + c.jitter(c.cfg.AbsentDelay/2))
			return
		}
	case FailureLimited, FailureInvalid:
		c.reached()
	}
	c.delayWatch(e)
	if after := c.now.Add(min(ev.After, c.cfg.AbsentDelay)); e.watch.due.Before(after) {
		e.watch.due = after
	}
}
