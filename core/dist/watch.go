package dist

import (
	"time"

	"goldcreststand.example/core/ident"
)

// watch is the state of the calls of the platform for one object.
type watch struct {
	call    CallID
	pending bool
	started time.Time
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

// isHung reports whether the call waits since before calls ceased to end. It may be replaced by one that
// tries whether the platform responds again: an instance whose only call hangs would notice that only
// after the wait of the call.
func (c *Core) isHung(w *watch) bool {
	return c.reachability.offline && c.reachability.hung && w.started.Before(c.reachability.offlineSince)
}

func (c *Core) startWatch(e *entry) {
	w := e.watch
	w.call, w.pending, w.started, w.wait = c.nextCall(), true, c.now, c.cfg.WatchWait
	// A call that does not wait tells at once that the platform is back.
	if w.tag == "" || c.reachability.offline {
		w.wait = 0
	} else if c.shortWatch == nil {
		c.shortWatch, w.wait = e, c.cfg.ShortWatchWait
	}
	c.emit(StartWatch{Key: e.key, Call: w.call, Tag: w.tag, Wait: w.wait})
}

// stepShortWatch gives one of the waiting calls the short wait when none has it.
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
	c.releaseProbe(e)
	e.watch = nil
}

// releaseProbe gives up what the entry's call had for itself.
func (c *Core) releaseProbe(e *entry) {
	if c.shortWatch == e {
		c.shortWatch = nil
	}
	if c.reachability.probe == e {
		c.reachability.probe = nil
	}
}

// finishWatch marks the call as finishWatch and returns its entry, or nil when the call has been replaced.
func (c *Core) finishWatch(k Key, call CallID) *entry {
	e, ok := c.entries[k]
	if !ok || e.watch == nil || !e.watch.pending || e.watch.call != call {
		return nil
	}
	e.watch.pending = false
	c.releaseProbe(e)
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

// updateTag takes the tag of a version that was read. A replica of the platform that lags shows an
// older version, which differs from the tag's at every call; it is read again only after a delay.
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

// hasRollout reports whether the service's routing table asks for a version rollout. Until then nobody creates
// a rollout status; from then on an operator may roll back at any time.
func (c *Core) hasRollout(s ident.ServiceName) bool {
	e, ok := c.entries[TableKey(s)]
	return ok && e.object != nil && e.object.Table != nil && e.object.Table.Move != nil
}

// readStatusSoon reads an absent rollout status soon, because a rollout has been asked for.
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
		// A list of names has no revision. The delay bounds the calls when replicas differ.
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
	// The delay bounds the calls of a platform that does not wait.
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
