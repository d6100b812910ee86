// Package canary decides about version rollouts: which share of the calls the new version gets, and
// when the rollout is done or rolled back. Each serving instance decides by its own and the others'
// counts; the statuses are joined, so that no instance needs to lead.
package canary

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Capacity says how many calls in flight the versions' servers can take at this instance.
type Capacity struct {
	// Old and New are the limits of the servers of both versions, warm-up included.
	Old, New ident.Slots
	// Inflight is the number of calls in flight at all servers.
	Inflight ident.Slots
	// NewServers is the number of servers of the new version that are listed.
	NewServers int
	// OldListed says that servers of the old version exist.
	OldListed bool
}

// Rollout is the newest version rollout of one service as one instance sees it. It is not safe for
// concurrent use.
type Rollout struct {
	service ident.ServiceName
	self    ident.InstanceID
	move    *table.RolloutSpec
	// status is that of the newest attempt known, which can be newer than the move.
	status table.RolloutStatus
	// current is the status of the move's attempt.
	current table.RolloutStatus
	// confirmed says that a peer was heard since the start and the last pause.
	confirmed bool
	heard     time.Time
	// withheld says that the deadline passed while nobody could be heard.
	withheld bool

	counter   *counter
	evidence  *evidence
	stageFrom time.Time
	doneAt    time.Time

	sampled  time.Time
	reported time.Time
	asked    time.Time
	// since is the time of the start or of the end of the last pause.
	since time.Time
	// announce is the number of times that the status is still to be sent at once.
	announce int

	capacity Capacity
	peak     float64
}

// New returns the state without a rollout at the time of the instance's start.
func New(service ident.ServiceName, self ident.InstanceID, now time.Time) *Rollout {
	r := &Rollout{service: service, self: self}
	r.Resume(now)
	return r
}

// SetMove follows the routing table. A move with an older attempt than the current one is ignored.
func (r *Rollout) SetMove(m *table.RolloutSpec, now time.Time) {
	if m == nil || r.move != nil && m.Attempt <= r.move.Attempt {
		return
	}
	v := *m
	r.move = &v
	r.counter, r.evidence = newCounter(v), newEvidence(v)
	r.withheld, r.doneAt, r.reported = false, time.Time{}, now
	r.current = table.RolloutStatus{Service: r.service, Attempt: v.Attempt}
	if r.status.Attempt == v.Attempt {
		r.current = r.status
	}
	r.enterStage(now)
}

// Join takes a status that a peer sent. A peer with an older one gets the own one.
func (r *Rollout) Join(s table.RolloutStatus, now time.Time) {
	r.confirmed, r.heard = true, now
	r.join(s, now)
	if Compare(s, r.current) < 0 {
		r.announce = max(r.announce, 1)
	}
}

// Asked takes the status of a peer that does not know whether it is up to date. It confirms nothing. A
// newer status is sent back in any case. When all instances were paused at once, nobody can confirm; after
// some time the join of what they told each other counts as up to date.
func (r *Rollout) Asked(s table.RolloutStatus, now time.Time) {
	r.join(s, now)
	if now.Sub(r.since) >= settleTime {
		r.confirmed, r.heard = true, now
	}
	if r.confirmed || Compare(s, r.current) < 0 {
		r.announce = max(r.announce, 1)
	}
}

// Learn takes a status that was distributed. It can be behind the peers', so they get some time to respond
// before it counts as up to date.
func (r *Rollout) Learn(s table.RolloutStatus, now time.Time) {
	if now.Sub(r.since) >= askInterval {
		r.confirmed, r.heard = true, now
	}
	r.join(s, now)
}

// Alone tells the rollout that no other instance is known that serves the service. After some time that
// says that there is nobody to ask.
func (r *Rollout) Alone(now time.Time) {
	if now.Sub(r.since) >= settleTime {
		r.confirmed, r.heard = true, now
	}
}

// Resume tells the rollout that the instance was paused: its status may be out of date.
func (r *Rollout) Resume(now time.Time) {
	r.confirmed = false
	r.since = now
	r.asked = time.Time{}
}

func (r *Rollout) join(s table.RolloutStatus, now time.Time) {
	r.status = Join(r.status, s)
	if r.move == nil || s.Attempt != r.move.Attempt {
		return
	}
	old := r.current
	r.current = Join(old, s)
	if Compare(r.current, old) > 0 {
		r.withheld = false
		r.enterStage(now)
	}
}

// set makes a decision of this instance.
func (r *Rollout) set(s table.RolloutStatus, now time.Time) {
	r.join(s, now)
	r.announce = announcements
}

func (r *Rollout) enterStage(now time.Time) {
	r.stageFrom = now
	if r.current.Outcome != table.OutcomeRunning && r.doneAt.IsZero() {
		r.doneAt = now
	}
	r.evidence.newStage()
}

// Observe counts the outcome of a call. fresh says that its server had had few calls in its life.
func (r *Rollout) Observe(o route.TryOutcome, fresh bool, now time.Time) {
	if r.move != nil && r.live(now) {
		r.counter.add(o, fresh)
	}
}

// Merge takes another instance's counts of an attempt.
func (r *Rollout) Merge(sender ident.InstanceID, a ident.Attempt, counts []Count, suspects []Suspect, now time.Time) {
	if r.move == nil || a != r.move.Attempt || sender == r.self || !r.live(now) {
		return
	}
	r.evidence.merge(sender, counts, suspects, r.aloneNow())
	r.judge(now)
}

// SetCapacity takes the capacity of the versions' servers, once a tick.
func (r *Rollout) SetCapacity(c Capacity) {
	r.capacity = c
	r.peak = max(float64(c.Inflight), r.peak*peakDecay)
}

// Status returns the status of the current attempt and whether there is one.
func (r *Rollout) Status() (table.RolloutStatus, bool) { return r.current, r.move != nil }

// Move returns the current move, or nil.
func (r *Rollout) Move() *table.RolloutSpec { return r.move }

// Live reports whether there is a rollout that can still change, which is when it reports.
func (r *Rollout) Live(now time.Time) bool { return r.move != nil && r.live(now) }

// live reports whether the rollout can still change.
func (r *Rollout) live(now time.Time) bool {
	switch r.current.Outcome {
	case table.OutcomeRunning:
		return true
	case table.OutcomeDone:
		return now.Sub(r.doneAt) <= watchTime
	case table.OutcomeReverted:
		return false
	}
	return false
}

// aloneNow reports whether the old version gets no calls by the status.
func (r *Rollout) aloneNow() bool {
	return r.current.Outcome == table.OutcomeDone || r.stage() == Last
}

// Share returns the share of the calls that the new version gets at this instance, and whether there is
// a rollout to follow.
func (r *Rollout) Share() (ident.Share, bool) {
	if r.move == nil {
		return 0, false
	}
	if r.current.Outcome == table.OutcomeReverted || r.withheld {
		return 0, true
	}
	if !r.capacity.OldListed && r.capacity.New > 0 {
		// Nothing else can serve the calls.
		return ident.FullShare, true
	}
	if !r.confirmed {
		return 0, true
	}
	if r.current.Outcome == table.OutcomeDone && r.capacity.New > 0 {
		// The old version's servers may go at any time, so bursts do not bring calls back to them.
		return ident.FullShare, true
	}
	return min(r.stage().Share(), r.room()), true
}

// room returns the share of the calls that the new version's servers can take. Most of the slots stay
// the bound, because the rest of them absorbs bursts.
func (r *Rollout) room() ident.Share {
	if r.peak < 1 {
		if r.capacity.New == 0 {
			return 0
		}
		return ident.FullShare
	}
	return ident.Share(min(float64(r.capacity.New)*headroom/r.peak, float64(ident.FullShare)))
}
