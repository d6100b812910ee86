package dist

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// maxFailedCalls is the number of failed calls in a row after which an instance is offline: it does not reach
// the platform.
const maxFailedCalls = 2

// reachability is the state of which instances reach the platform. The report of an instance is a revision that
// only the instance itself increases. It is odd when the instance does not reach the platform.
type reachability struct {
	// offline is set while this instance does not reach the platform. It then makes one call at a time.
	offline bool
	// hung is set when calls did not end in time. Calls started before offlineSince may then never end.
	hung         bool
	offlineSince time.Time
	failedCalls  int
	probe        *entry
	nextProbe    time.Time
	failedProbes int
	// reportedAt is the time at which the current report of each instance was received.
	reportedAt map[ident.InstanceID]time.Time
}

// isOffline reports whether the instance has a report that has not expired and says that it does not reach the
// platform.
func (c *Core) isOffline(id ident.InstanceID) bool {
	e, ok := c.entries[ReachabilityKey(id)]
	return ok && e.knownRevision%2 == 1 && c.now.Sub(c.reachability.reportedAt[id]) < c.cfg.ReachabilityExpiry
}

// expireReports removes reports that are older than ReachabilityExpiry.
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

// learnReport records the report of an instance. A report of an earlier process of this instance is replaced by
// a newer one.
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

// announceReachability increases this instance's report and notifies the instances whose roles depend on it.
func (c *Core) announceReachability() {
	k := ReachabilityKey(c.self)
	next := c.entry(k).knownRevision + 1
	if (next%2 == 1) != c.reachability.offline {
		next++
	}
	report := ObjectRevision{Key: k, Revision: next}
	c.learnRevision(report, c.self)
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
	c.notifyPeers(to, []ObjectRevision{report})
}

// mayCallPlatform reports whether a call to the platform may start. While the instance is offline it makes one
// call at a time, which avoids a burst of calls when the platform is reachable again.
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

// platformResponded records that the platform responded. If the instance was offline, it schedules its watches
// and announces the change.
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
			c.releaseReservations(e)
		}
		if !w.pending {
			w.failures = 0
			w.due = c.now.Add(c.jitter(c.startSpread))
		}
	}
	c.reachability.hung = false
	c.announceReachability()
}

// platformCallFailed records that a call to the platform failed.
func (c *Core) platformCallFailed() {
	c.reachability.failedCalls++
	if c.reachability.failedCalls >= maxFailedCalls {
		c.markOffline()
	}
}

// markOffline records that the platform is not reachable. It renews the report before it expires.
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

// checkOverdue marks the instance as offline when a call to the platform neither ends nor fails.
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
