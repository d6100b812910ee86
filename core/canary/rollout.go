// Package canary decides about version rollouts: which share of the calls the new version gets, and when
// the rollout is done or rolled back. A Rollout needs no leader: each serving instance decides from its
// own and the others' counts, and the instances merge their statuses. A CoordinatedRollout is decided by
// one instance and stored.
package canary

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Capacity is the number of calls in flight that the versions' servers can take from this instance.
type Capacity struct {
	// OldSlots and NewSlots are the limits of the servers of both versions; they are lower during warm-up.
	OldSlots, NewSlots ident.Slots
	// Inflight is the number of calls in flight at all servers.
	Inflight ident.Slots
	// NewServers is the number of listed servers of the new version.
	NewServers int
	// HasOldServers says that servers of the old version are listed.
	HasOldServers bool
}

// Rollout is one instance's view of the newest version rollout of a service. It is not safe for concurrent
// use.
type Rollout struct {
	service ident.ServiceName
	self    ident.InstanceID
	spec    *table.RolloutSpec
	// newest is the status of the newest known attempt, which can be newer than the spec.
	newest table.RolloutStatus
	// current is the status of the spec's attempt.
	current table.RolloutStatus
	// confirmed says that the status was confirmed as up to date after the instance's start or last pause.
	confirmed   bool
	lastContact time.Time
	// withheld says that the deadline passed without contact to a peer; the new version then gets no
	// calls.
	withheld bool

	counter    *counter
	evidence   *evidence
	stageStart time.Time
	endedAt    time.Time

	lastSample  time.Time
	lastReport  time.Time
	lastRequest time.Time
	// resumedAt is the time of the start or of the end of the last pause.
	resumedAt time.Time
	// pendingSends is the number of times that the status still has to be sent without delay.
	pendingSends int

	capacity     Capacity
	peakInflight float64
}

// NewRollout returns the state of an instance that starts and has no rollout.
func NewRollout(service ident.ServiceName, self ident.InstanceID, now time.Time) *Rollout {
	r := &Rollout{service: service, self: self}
	r.HandleResume(now)
	return r
}

// SetSpec sets the rollout that the routing table requests. A spec without a newer attempt is ignored.
func (r *Rollout) SetSpec(spec *table.RolloutSpec, now time.Time) {
	if spec == nil || r.spec != nil && spec.Attempt <= r.spec.Attempt {
		return
	}
	v := *spec
	r.spec = &v
	r.counter, r.evidence = newCounter(v), newEvidence(v)
	r.withheld, r.endedAt, r.lastReport = false, time.Time{}, now
	r.current = table.RolloutStatus{Service: r.service, Attempt: v.Attempt}
	if r.newest.Attempt == v.Attempt {
		r.current = r.newest
	}
	r.enterStage(now)
}

// HandlePeerStatus merges the status that a peer sent. If it is older, the own status is sent back.
func (r *Rollout) HandlePeerStatus(s table.RolloutStatus, now time.Time) {
	r.confirmed, r.lastContact = true, now
	r.mergeStatus(s, now)
	if CompareStatus(s, r.current) < 0 {
		r.pendingSends = max(r.pendingSends, 1)
	}
}

// HandleStatusRequest merges the status of a peer that does not know whether it is up to date, and sends
// the own one if that is confirmed or newer. The peer's status confirms nothing at first. After
// peerDiscoveryTime the merged status counts as up to date, because after a pause of all instances none
// could confirm another.
func (r *Rollout) HandleStatusRequest(s table.RolloutStatus, now time.Time) {
	r.mergeStatus(s, now)
	if now.Sub(r.resumedAt) >= peerDiscoveryTime {
		r.confirmed, r.lastContact = true, now
	}
	if r.confirmed || CompareStatus(s, r.current) < 0 {
		r.pendingSends = max(r.pendingSends, 1)
	}
}

// HandlePublishedStatus merges a status that was distributed to the instances. It may be older than the
// peers' statuses: it confirms the merged one only after statusRequestInterval, in which peers can reply.
func (r *Rollout) HandlePublishedStatus(s table.RolloutStatus, now time.Time) {
	if now.Sub(r.resumedAt) >= statusRequestInterval {
		r.confirmed, r.lastContact = true, now
	}
	r.mergeStatus(s, now)
}

// HandleNoPeers notes that no other instance is known to serve the service. After peerDiscoveryTime the
// own status counts as up to date.
func (r *Rollout) HandleNoPeers(now time.Time) {
	if now.Sub(r.resumedAt) >= peerDiscoveryTime {
		r.confirmed, r.lastContact = true, now
	}
}

// HandleResume notes that the instance was paused, after which its status may be out of date.
func (r *Rollout) HandleResume(now time.Time) {
	r.confirmed = false
	r.resumedAt = now
	r.lastRequest = time.Time{}
}

func (r *Rollout) mergeStatus(s table.RolloutStatus, now time.Time) {
	r.newest = MergeStatus(r.newest, s)
	if r.spec == nil || s.Attempt != r.spec.Attempt {
		return
	}
	old := r.current
	r.current = MergeStatus(old, s)
	if CompareStatus(r.current, old) > 0 {
		r.withheld = false
		r.enterStage(now)
	}
}

// decide sets a status that this instance has decided on.
func (r *Rollout) decide(s table.RolloutStatus, now time.Time) {
	r.mergeStatus(s, now)
	r.pendingSends = statusRepeats
}

func (r *Rollout) enterStage(now time.Time) {
	r.stageStart = now
	if r.current.Outcome != table.OutcomeRunning && r.endedAt.IsZero() {
		r.endedAt = now
	}
	r.evidence.resetStageCounts()
}

// RecordOutcome counts the outcome of a call. fewCalls says that its server has handled few calls since its
// start.
func (r *Rollout) RecordOutcome(o route.TryOutcome, fewCalls bool, now time.Time) {
	if r.spec != nil && r.active(now) {
		r.counter.record(o, fewCalls)
	}
}

// MergeCounts adds another instance's counts of an attempt.
func (r *Rollout) MergeCounts(sender ident.InstanceID, a ident.Attempt, counts []CallCounts, badCalls []ServerBadCalls, now time.Time) {
	if r.spec == nil || a != r.spec.Attempt || sender == r.self || !r.active(now) {
		return
	}
	r.evidence.addReport(sender, counts, badCalls, r.oldIdle())
	r.rollBackIfWorse(now)
}

// SetCapacity sets the capacity of the versions' servers. It is called once per tick.
func (r *Rollout) SetCapacity(c Capacity) {
	r.capacity = c
	r.peakInflight = max(float64(c.Inflight), r.peakInflight*peakDecay)
}

// Status returns the status of the current attempt and whether there is one.
func (r *Rollout) Status() (table.RolloutStatus, bool) { return r.current, r.spec != nil }

// Spec returns the spec of the current rollout, or nil.
func (r *Rollout) Spec() *table.RolloutSpec { return r.spec }

// Active reports whether there is a rollout that can still change. Counts are sent only for an active one.
func (r *Rollout) Active(now time.Time) bool { return r.spec != nil && r.active(now) }

// active reports whether the rollout can still change.
func (r *Rollout) active(now time.Time) bool {
	switch r.current.Outcome {
	case table.OutcomeRunning:
		return true
	case table.OutcomeDone:
		return now.Sub(r.endedAt) <= rollbackWindow
	case table.OutcomeReverted:
		return false
	}
	return false
}

// oldIdle reports whether the status gives the old version no calls.
func (r *Rollout) oldIdle() bool {
	return r.current.Outcome == table.OutcomeDone || r.stage() == LastStage
}

// Share returns the share of the calls that the new version gets at this instance, and whether there is a
// rollout.
func (r *Rollout) Share() (ident.Share, bool) {
	if r.spec == nil {
		return 0, false
	}
	if r.current.Outcome == table.OutcomeReverted || r.withheld {
		return 0, true
	}
	if !r.capacity.HasOldServers && r.capacity.NewSlots > 0 {
		// Nothing else can serve the calls.
		return ident.FullShare, true
	}
	if !r.confirmed {
		return 0, true
	}
	if r.current.Outcome == table.OutcomeDone && r.capacity.NewSlots > 0 {
		// The old version's servers may stop at any time, so bursts do not move calls back to them.
		return ident.FullShare, true
	}
	return min(r.stage().Share(), r.capacityShare()), true
}

// capacityShare returns the share of the calls that the new version's servers can take. A part of their
// slots is reserved for bursts.
func (r *Rollout) capacityShare() ident.Share {
	if r.peakInflight < 1 {
		if r.capacity.NewSlots == 0 {
			return 0
		}
		return ident.FullShare
	}
	return ident.Share(min(float64(r.capacity.NewSlots)*maxPlannedUse/r.peakInflight, float64(ident.FullShare)))
}
