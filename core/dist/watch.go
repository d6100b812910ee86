package dist

import (
	"time"

	"goldcreststand.example/core/ident"
)

// watch is the state of the calls to the platform for one object.
type watch struct {
	call    CallID
	pending bool
	started time.Time
	wait    time.Duration
	tag     Tag
	// revision is the revision of the version that the tag identifies.
	revision ident.Revision
	// due is the time at which the next call may start.
	due      time.Time
	failures int
}

// overdue reports whether the call should have ended by now.
func (w *watch) overdue(now time.Time, grace time.Duration) bool {
	return w.pending && now.Sub(w.started) > w.wait+grace
}

// stepWatch starts or ends the call for the object.
func (c *Core) stepWatch(e *entry) {
	if !e.watches {
		c.endWatch(e)
		return
	}
	if e.watch == nil {
		e.watch = &watch{due: c.now.Add(c.jitter(c.startSpread))}
	}
	if e.watch.pending && !c.isHung(e.watch) || c.now.Before(e.watch.due) || !c.mayCallPlatform(e) {
		return
	}
	c.startWatch(e)
}

// isHung reports whether the call started before calls were found to hang. Such a call may be replaced by one
// that probes the platform. Otherwise an instance whose only call hangs would notice that the platform
// responds again only after the wait of that call.
func (c *Core) isHung(w *watch) bool {
	return c.reachability.offline && c.reachability.hung && w.started.Before(c.reachability.offlineSince)
}

func (c *Core) startWatch(e *entry) {
	w := e.watch
	w.call, w.pending, w.started, w.wait = c.nextCall(), true, c.now, c.cfg.WatchWait
	// While offline, a call without a wait shows at once whether the platform responds again.
	if w.tag == "" || c.reachability.offline {
		w.wait = 0
	} else if c.shortWatch == nil {
		c.shortWatch, w.wait = e, c.cfg.ShortWatchWait
	}
	c.emit(StartWatch{Key: e.key, Call: w.call, Tag: w.tag, Wait: w.wait})
}

// stepShortWatch restarts one of the waiting calls with the short wait when none has it.
func (c *Core) stepShortWatch() {
	if c.shortWatch != nil || c.reachability.offline {
		return
	}
	for _, e := range c.sorted {
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
		c.emit(StopWatch{Key: e.key})
	}
	c.releaseReservations(e)
	e.watch = nil
}

// releaseReservations frees the short wait and the probe of the platform if the entry's call held them.
func (c *Core) releaseReservations(e *entry) {
	if c.shortWatch == e {
		c.shortWatch = nil
	}
	if c.reachability.probe == e {
		c.reachability.probe = nil
	}
}

// finishWatch marks the call as ended and returns its entry, or nil when the call has been replaced.
func (c *Core) finishWatch(k Key, call CallID) *entry {
	e, ok := c.entries[k]
	if !ok || e.watch == nil || !e.watch.pending || e.watch.call != call {
		return nil
	}
	e.watch.pending = false
	c.releaseReservations(e)
	return e
}

func (ev ObjectRead) apply(c *Core) {
	if e := c.finishWatch(ev.Object.Key, ev.Call); e != nil {
		c.platformResponded()
		c.updateTag(e, ev.Tag, ev.Object.Revision)
	}
	if e, ok := c.entries[ev.Object.Key]; ok {
		e.store.platformRevision = max(e.store.platformRevision, ev.Object.Revision)
	}
	if c.applyObject(ev.Object, c.self) {
		c.notifyServing([]ObjectRevision{{Key: ev.Object.Key, Revision: ev.Object.Revision}}, ev.Object.Key.Service())
	}
}

// updateTag records the tag of a version that was read. A lagging replica of the platform returns an older
// version at once, because it differs from the tag's. The next call then starts after a delay.
func (c *Core) updateTag(e *entry, tag Tag, r ident.Revision) {
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

// hasRollout reports whether the service's routing table requests a version rollout. Without one there is no
// rollout status; with one an operator may roll back at any time.
func (c *Core) hasRollout(s ident.ServiceName) bool {
	e, ok := c.entries[TableKey(s)]
	return ok && e.object != nil && e.object.Table != nil && e.object.Table.Move != nil
}

// readStatusSoon shortens the delay before a missing rollout status is read, because a rollout was requested.
func (c *Core) readStatusSoon(s ident.ServiceName) {
	e, ok := c.entries[StatusKey(s)]
	if ok && e.watch != nil && !e.watch.pending && e.watch.due.After(c.now.Add(c.cfg.BackoffCap)) {
		e.watch.due = c.now.Add(c.jitter(c.cfg.BackoffBase))
	}
}

func (c *Core) delayWatch(e *entry) {
	e.watch.failures++
	e.watch.due = c.now.Add(c.backoff(e.watch.failures, c.cfg.BackoffCap))
}

func (ev CatalogRead) apply(c *Core) {
	if e := c.finishWatch(CatalogKey(), ev.Call); e != nil {
		c.platformResponded()
		// A list of names has no revision. The delay limits the call rate when replicas differ.
		e.watch.tag, e.watch.failures, e.watch.due = ev.Tag, 0, c.now.Add(c.cfg.BackoffBase)
	}
	for _, n := range ev.Services {
		c.learnRevision(ObjectRevision{Key: TableKey(n)}, c.self)
	}
}

func (ev WatchUnchanged) apply(c *Core) {
	e := c.finishWatch(ev.Key, ev.Call)
	if e == nil {
		return
	}
	c.platformResponded()
	w := e.watch
	w.failures, w.due = 0, c.now
	// The delay limits the call rate when the platform responds before the wait is over.
	if early := w.started.Add(w.wait / 2); c.now.Before(early) {
		w.due = early
	}
}

func (ev WatchFailed) apply(c *Core) {
	e := c.finishWatch(ev.Key, ev.Call)
	if e == nil {
		return
	}
	switch ev.Failure {
	case FailureUnreachable:
		c.platformCallFailed()
	case FailureNotFound:
		c.platformResponded()
		if ev.Key.Kind == KindStatus && !c.hasRollout(ev.Key.Service()) {
			e.watch.due = c.now.Add(c.cfg.NotFoundDelay/2 + c.jitter(c.cfg.NotFoundDelay/2))
			return
		}
	case FailureRateLimited, FailureInvalid:
		c.platformResponded()
	}
	c.delayWatch(e)
	if after := c.now.Add(min(ev.RetryAfter, c.cfg.NotFoundDelay)); e.watch.due.Before(after) {
		e.watch.due = after
	}
}
