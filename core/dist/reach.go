package dist

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// maxFailedCalls is the number of failed calls in a row after which an instance holds that it does not
// reach the platform.
const maxFailedCalls = 2

// reachability is what the instance knows of who reaches the platform. An instance's report is a revision that
// only the instance itself increases: odd when it does not reachability the platform.
type reachability struct {
	// offline says that this instance does not reach the platform; one call at a time then tries.
	offline bool
	// hung says that calls did not end, so that those that wait since then are worth nothing.
	hung         bool
	offlineSince time.Time
	failedCalls  int
	probe        *entry
	nextProbe    time.Time
	failedProbes int
	// reportedAt is the time at which the current report of each instance was learned.
	reportedAt map[ident.InstanceID]time.Time
}

// isOffline reports whether the instance's report, if it is not too old, is that it does not reach the platform.
func (c *Core) isOffline(id ident.InstanceID) bool {
	e, ok := c.entries[ReachabilityKey(id)]
	return ok && e.knownRevision%2 == 1 && c.now.Sub(c.reachability.reportedAt[id]) < c.cfg.ReachabilityExpiry
}

// expireReports forgets reports that are too old.
func (c *Core) expireReports() {
	for id, at := range c.reachability.reportedAt {
		if c.now.Sub(at) >= c.cfg.ReachabilityExpiry {
			delete(c.reachability.reportedAt, id)
			if id != c.self {
				c.removeEntry(ReachabilityKey(id))
			}
			c.rolesStale = true
		}
	}
}

// learnReport takes the report of an instance. A report on this instance from its former life is replaced by a
// newer one.
func (c *Core) learnReport(e *entry, from ident.InstanceID) {
	id := ident.InstanceID(e.key.Name)
	if id == c.self && from != c.self {
		c.announceReachability()
		return
	}
	if c.reachability.reportedAt == nil {
		c.reachability.reportedAt = make(map[ident.InstanceID]time.Time)
	}
	c.reachability.reportedAt[id] = c.now
	c.rolesStale = true
}

// announceReachability sets this instance's report to a newer one and tells those that take over or step back.
func (c *Core) announceReachability() {
	k := ReachabilityKey(c.self)
	next := c.entry(k).knownRevision + 1
	if (next%2 == 1) != c.reachability.offline {
		next++
	}
	held := ObjectRevision{Key: k, Revision: next}
	c.learnRevision(held, c.self)
	var to []ident.InstanceID
	for _, n := range c.serviceNames {
		order := c.services[n]
		if !slices.ContainsFunc(order[:min(c.cfg.Watchers, len(order))], c.isSelf) {
			continue
		}
		for _, w := range c.watchers(order) {
			to = append(to, w.ID)
		}
	}
	c.notifyPeers(to, []ObjectRevision{held})
}

// mayCallPlatform reports whether a call of the platform may start. While the platform is out of reach, one call
// at a time tries, so that its return brings no burst.
func (c *Core) mayCallPlatform(e *entry) bool {
	if !c.reachability.offline {
		return true
	}
	if c.reachability.probe != nil || c.now.Before(c.reachability.nextProbe) {
		return false
	}
	c.reachability.probe = e
	return true
}

// platformResponded notes that the platform responded.
func (c *Core) platformResponded() {
	c.reachability.failedCalls = 0
	if !c.reachability.offline {
		return
	}
	c.reachability.offline, c.reachability.failedProbes = false, 0
	c.setStartSpread(func(e *entry) bool { return e.watch != nil && (!e.watch.pending || c.reachability.hung) })
	for _, e := range c.sorted {
		w := e.watch
		if w == nil {
			continue
		}
		if w.pending && c.reachability.hung && w.started.Before(c.reachability.offlineSince) {
			c.emit(StopWatch{Key: e.key})
			w.pending = false
			c.releaseProbe(e)
		}
		if !w.pending {
			w.failures = 0
			w.due = c.now.Add(c.jitter(c.startSpread))
		}
	}
	c.reachability.hung = false
	c.announceReachability()
}

// platformCallFailed notes that a call of the platform failed.
func (c *Core) platformCallFailed() {
	c.reachability.failedCalls++
	if c.reachability.failedCalls >= maxFailedCalls {
		c.markOffline()
	}
}

// markOffline notes that the platform is out of reach, and repeats the report before it expires.
func (c *Core) markOffline() {
	c.reachability.failedProbes++
	c.reachability.nextProbe = c.now.Add(c.backoff(c.reachability.failedProbes, c.cfg.BackoffCap))
	if !c.reachability.offline {
		c.reachability.offline, c.reachability.offlineSince = true, c.now
		c.announceReachability()
		return
	}
	if c.now.Sub(c.reachability.reportedAt[c.self]) > c.cfg.ReachabilityExpiry*2/3 {
		c.announceReachability()
	}
}

// checkOverdue notices calls that neither end nor fail.
func (c *Core) checkOverdue() {
	if c.reachability.offline {
		return
	}
	for _, e := range c.sorted {
		if e.watch != nil && e.watch.overdue(c.now, c.cfg.WatchGrace) {
			c.reachability.hung = true
			c.markOffline()
			return
		}
	}
}
