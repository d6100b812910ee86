package canary

import (
	"fmt"
	"math"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Version names in the counts of a coordinated rollout. The stable servers may run several versions.
const (
	labelStable ident.VersionName = "stable"
	labelNew    ident.VersionName = "trial"
)

// Start times of the phases, as fractions of the time from the order to the deadline. The trial is long
// enough to detect a version that turns bad seconds after its start. The time after it is for the phases
// with larger shares and for the old servers' calls in flight.
const (
	quarterFraction = 0.50
	halfFraction    = 0.58
	wholeFraction   = 0.66
	doneFraction    = 0.88
	// rollbackFraction is when a rollout that is not done is rolled back.
	rollbackFraction = 0.94
)

const (
	// minTrialCalls is the number of the new version's calls that the trial needs. A version that fails
	// one of eight calls has failed by then with probability 0.98.
	minTrialCalls = 30
	// minPhaseTime is the minimum time in a phase. A phase takes up to 0.4 s to reach all instances, and
	// their counts take 0.2 s to come back.
	minPhaseTime = 800 * time.Millisecond
	// minCapacityTime is the time without overload that the new version needs before the rollout is done,
	// after which the old servers stop and it cannot be rolled back. The measured utilization dips for up
	// to 1 s.
	minCapacityTime = 2 * time.Second
	// maxUtilization is the mean utilization beyond which the new version's servers cannot take the
	// service's calls, as a part of the calls that they handle at full speed: bursts raise the calls by
	// half.
	maxUtilization = 0.65
	// minAloneTime is the time for which no servers of other versions are listed before the new version counts as the only one. Entries
	// that expired during an outage of the store come back within 2 s of its return.
	minAloneTime = 3 * time.Second
	// lowTrafficShare is the new version's share on routes with few calls, to detect a version that fails
	// only on such a route.
	lowTrafficShare ident.Share = 300
)

// RolloutOrder is the request to move the calls of a service to a version.
type RolloutOrder struct {
	Service ident.ServiceName
	Attempt ident.Attempt
	Version ident.VersionName
	// Duration is the time within which the rollout must end.
	Duration time.Duration
	// HasPhase says that the store holds a phase. Age is then the known time since the order.
	HasPhase bool
	Phase    Phase
	Age      time.Duration
	// RolledBack holds versions of earlier orders whose rollbacks the store records.
	RolledBack []ident.VersionName
	// Revision is the revision of the object in the store.
	Revision ident.Revision
}

// CoordinatedRollout is one instance's view of the newest rollout of a service that one instance decides
// for all and keeps in the store. It is not safe for concurrent use.
type CoordinatedRollout struct {
	self  ident.InstanceID
	order *RolloutOrder
	phase Phase
	// withheld says that this instance knows of a bad version whose rollback is not in the store yet.
	withheld bool
	// orderedAt is when the order became known, phaseStart when the phase did, and lastOverload when the
	// new version's servers last had too little capacity. aloneSince is the time since when no servers of other versions are
	// known, or zero.
	orderedAt, phaseStart, lastOverload, aloneSince time.Time
	// latencies are kept between orders, to have a threshold at the start of a rollout.
	latencies map[ident.RouteName]*latencyQuantile
	counter   *counter
	evidence  *evidence
	// lastCounts holds the latest counts of each instance, and totals the sums over all instances since
	// the order.
	lastCounts map[ident.InstanceID]map[countKey]CallCounts
	totals     map[countKey]*CallCounts
	// stableCalls counts the stable servers' calls of each route since the order.
	stableCalls map[ident.RouteName]int
}

// NewCoordinatedRollout returns the state without an order.
func NewCoordinatedRollout(self ident.InstanceID) *CoordinatedRollout {
	return &CoordinatedRollout{self: self, latencies: make(map[ident.RouteName]*latencyQuantile)}
}

// SetOrder sets the order that the store holds, or nil for none.
func (t *CoordinatedRollout) SetOrder(o *RolloutOrder, now time.Time) {
	if o == nil {
		t.order = nil
		return
	}
	if t.order == nil || t.order.Attempt != o.Attempt || t.order.Version != o.Version {
		t.reset(now.Add(-min(o.Age, o.Duration)))
	}
	t.order = o
	if o.HasPhase && o.Phase > t.phase {
		t.enterPhase(o.Phase, now)
	}
}

func (t *CoordinatedRollout) reset(now time.Time) {
	t.orderedAt, t.phaseStart, t.lastOverload, t.phase, t.withheld = now, now, time.Time{}, PhaseTrial, false
	t.aloneSince = time.Time{}
	m := table.RolloutSpec{From: labelStable, To: labelNew}
	t.counter, t.evidence = newCounter(m), newEvidence(m)
	t.counter.latencies = t.latencies
	t.lastCounts = make(map[ident.InstanceID]map[countKey]CallCounts)
	t.totals = make(map[countKey]*CallCounts)
	t.stableCalls = make(map[ident.RouteName]int)
}

func (t *CoordinatedRollout) enterPhase(p Phase, now time.Time) {
	t.phase, t.phaseStart = p, now
	if p == PhaseDone {
		// The old servers stop, so that only the new ones are left.
		t.withheld = false
	}
	t.evidence.resetStageCounts()
}

// Age returns the time since the order.
func (t *CoordinatedRollout) Age(now time.Time) time.Duration { return now.Sub(t.orderedAt) }

// Order returns the current order, or nil.
func (t *CoordinatedRollout) Order() *RolloutOrder { return t.order }

// Phase returns the phase that this instance applies.
func (t *CoordinatedRollout) Phase() Phase {
	if t.withheld {
		return PhaseReverted
	}
	return t.phase
}

// LostEnd returns the end of the rollout if the store held it and has lost it since.
func (t *CoordinatedRollout) LostEnd() (Phase, bool) {
	return t.phase, t.order != nil && t.phase.Ended() && (!t.order.HasPhase || !t.order.Phase.Ended())
}

// Active reports whether there is a rollout that can still change.
func (t *CoordinatedRollout) Active() bool { return t.order != nil && !t.phase.Ended() }

// RecordOutcome counts the outcome of a call. Its latency must be that of a server at full speed.
func (t *CoordinatedRollout) RecordOutcome(o route.TryOutcome) {
	isNew := t.order != nil && o.Version == t.order.Version
	if !t.Active() {
		if q := t.quantileFor(o.Route); o.Result == route.ResultOK && !isNew {
			q.add(o.Latency)
		}
		return
	}
	if isNew {
		o.Version = labelNew
	} else {
		o.Version = labelStable
		t.stableCalls[o.Route]++
	}
	t.counter.record(o, false)
}

func (t *CoordinatedRollout) quantileFor(r ident.RouteName) *latencyQuantile {
	q, ok := t.latencies[r]
	if !ok {
		q = new(latencyQuantile)
		if len(t.latencies) < maxCountedRoutes {
			t.latencies[r] = q
		}
	}
	return q
}

// Report returns the counts since the order, for the deciding instance.
func (t *CoordinatedRollout) Report() Report {
	return Report{
		Status: table.RolloutStatus{Service: t.order.Service, Attempt: t.order.Attempt},
		Counts: t.counter.sortedCounts(),
	}
}

// MergeCounts adds the counts of an instance, which may be this one. Counts of another attempt are
// ignored.
func (t *CoordinatedRollout) MergeCounts(sender ident.InstanceID, r Report) {
	if !t.Active() || r.Status.Attempt != t.order.Attempt {
		return
	}
	last := t.lastCounts[sender]
	next := make(map[countKey]CallCounts, len(r.Counts))
	for _, c := range r.Counts {
		k := countKey{c.Version, c.Route}
		next[k] = c
		old := last[k]
		if c.Calls < old.Calls {
			// The sender has restarted.
			old = CallCounts{}
		}
		t.addDifference(k, c, old)
	}
	t.lastCounts[sender] = next
}

// addDifference adds the increase of a count to the totals.
func (t *CoordinatedRollout) addDifference(k countKey, c, old CallCounts) {
	s, ok := t.totals[k]
	if !ok {
		s = &CallCounts{Version: k.version, Route: k.route}
		t.totals[k] = s
	}
	s.Calls += c.Calls - old.Calls
	s.Failures += max(0, c.Failures-old.Failures)
	s.Timed += max(0, c.Timed-old.Timed)
	s.Slow += max(0, c.Slow-old.Slow)
}

// addPeriod adds the calls of all instances since the last decision as one period. A single instance has
// too few calls of both versions at a time to compare them.
func (t *CoordinatedRollout) addPeriod() {
	counts := make([]CallCounts, 0, len(t.totals))
	for _, c := range t.totals {
		counts = append(counts, *c)
	}
	t.evidence.addReport("", counts, nil, t.phase >= PhaseWhole)
}

// WithholdCalls keeps this instance's calls from a bad version before its rollback is in the store. It has no
// effect on a completed rollout.
func (t *CoordinatedRollout) WithholdCalls() { t.withheld = t.phase != PhaseDone }

// Decision is the phase that a rollout should have.
type Decision struct {
	Phase Phase
	// Reason is the reason for a change of the phase.
	Reason string
	// Bad says that the new version must get no more calls, even before the store holds the phase.
	Bad bool
}

// Servers describes the servers of the service that accept calls.
type Servers struct {
	// New is the number of the new version's servers, and Utilization their mean utilization, as a part of the calls that they
	// handle at full speed.
	New         int
	Utilization float64
	// Others is the number of servers of other versions.
	Others int
}

// Decide returns the phase that the rollout should have.
func (t *CoordinatedRollout) Decide(s Servers, now time.Time) Decision {
	if !t.Active() {
		return Decision{Phase: t.phase}
	}
	t.addPeriod()
	if bad, why := t.newIsWorse(); bad {
		return Decision{Phase: PhaseReverted, Reason: why, Bad: true}
	}
	t.observeOthers(s, now)
	if elapsed := t.elapsedFraction(now); elapsed >= rollbackFraction {
		return t.decideAtDeadline(s, now)
	}
	if s.New == 0 || t.phase != PhaseTrial && s.Utilization > maxUtilization {
		t.lastOverload = now
	}
	return t.advance(now)
}

// observeOthers notes whether the new version's servers are the only ones.
func (t *CoordinatedRollout) observeOthers(s Servers, now time.Time) {
	switch {
	case s.Others > 0 || s.New == 0:
		t.aloneSince = time.Time{}
	case t.aloneSince.IsZero():
		t.aloneSince = now
	}
}

// decideAtDeadline returns the phase of a rollout that has not ended at its deadline. Where the new version's servers are the
// only ones, a rollback would refuse all calls, and the platform would stop these servers too: the old ones have most likely
// stopped because the rollout was completed, and the store has lost that.
func (t *CoordinatedRollout) decideAtDeadline(s Servers, now time.Time) Decision {
	switch {
	case t.aloneSince.IsZero():
		// The old servers may have stopped by an earlier write that was not answered, so that the version keeps its calls.
		return Decision{Phase: PhaseReverted, Reason: fmt.Sprintf(
			"deadline is near in phase %s after %d calls, with %.2f of the servers' capacity used", t.phase, t.newVersionCalls(), s.Utilization,
		)}
	case now.Sub(t.aloneSince) < minAloneTime:
		return Decision{Phase: t.phase}
	default:
		return Decision{Phase: PhaseDone, Reason: "deadline is near and no servers of other versions are left"}
	}
}

// elapsedFraction returns the part of the time to the deadline that has passed.
func (t *CoordinatedRollout) elapsedFraction(now time.Time) float64 {
	return float64(now.Sub(t.orderedAt)) / float64(t.order.Duration)
}

// advance returns the phase that is due by the time and the calls so far.
func (t *CoordinatedRollout) advance(now time.Time) Decision {
	if _, v := t.evidence.strongest(); now.Sub(t.phaseStart) < minPhaseTime || now.Sub(t.lastOverload) < minPhaseTime || v >= math.Log(holdEvidence) {
		return Decision{Phase: t.phase}
	}
	elapsed := t.elapsedFraction(now)
	switch {
	case t.phase == PhaseTrial && elapsed >= quarterFraction && t.newVersionCalls() >= minTrialCalls:
		return Decision{Phase: PhaseQuarter, Reason: "trial passed"}
	case t.phase == PhaseQuarter && elapsed >= halfFraction, t.phase == PhaseHalf && elapsed >= wholeFraction:
		return Decision{Phase: t.phase + 1, Reason: "phase passed"}
	case t.phase == PhaseWhole && elapsed >= doneFraction && now.Sub(t.lastOverload) >= minCapacityTime:
		return Decision{Phase: PhaseDone, Reason: "all calls are served by the new version"}
	}
	return Decision{Phase: t.phase}
}

// newVersionCalls returns the number of the new version's calls since the order.
func (t *CoordinatedRollout) newVersionCalls() int {
	if s := t.evidence.totals[scope{"", metricFailures}]; s != nil {
		return s.newCalls
	}
	return 0
}

// newIsWorse reports whether the evidence against the new version is significant. A trial has too few
// servers to tell an outlier server from a bad version, so evidence from one server counts, too: rolling
// back a good version costs less than keeping a bad one.
func (t *CoordinatedRollout) newIsWorse() (bool, string) {
	sc, v := t.evidence.strongest()
	if v < -math.Log(falseAlarmRate) {
		return false, ""
	}
	s := t.evidence.totals[sc]
	return true, fmt.Sprintf("%s on route %q: %d of %d calls, others %d of %d", sc.metric, sc.route,
		s.newBad, s.newCalls, s.oldBad, s.oldCalls)
}

// Shares returns the share of the new version's calls for single routes, and for all others. During the
// trial, routes with few calls get a larger share, because the limit applies to the sum of all calls.
func (t *CoordinatedRollout) Shares() (map[ident.RouteName]ident.Share, ident.Share) {
	share := t.Phase().Share()
	if t.Phase() != PhaseTrial {
		return nil, share
	}
	total := 0
	for _, n := range t.stableCalls {
		total += n
	}
	out := make(map[ident.RouteName]ident.Share)
	for r, n := range t.stableCalls {
		if n*len(t.stableCalls) < total/2 {
			out[r] = lowTrafficShare
		}
	}
	return out, share
}
