package canary

import (
	"fmt"
	"math"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Labels of the two sides of a trial in its counts. The stable servers may run several versions.
const (
	labelStable ident.VersionName = "stable"
	labelTrial  ident.VersionName = "trial"
)

// Points in time of a trial, as parts of the time from its order to its deadline. A version that turns bad
// seconds after its start must show that before it has more than its share; the rest is kept for the steps
// and for the old servers' last calls.
const (
	quarterPart = 0.50
	halfPart    = 0.58
	wholePart   = 0.66
	donePart    = 0.88
	// lastPart is when a trial that has not got all calls is rolled back.
	lastPart = 0.94
)

const (
	// trialCalls is the number of the new version's calls without which it does not get all calls. A
	// version with a failure in eight calls has failed by then with a probability of 0.98.
	trialCalls = 30
	// phaseTime is the least time in a phase: the news of a phase takes up to 0.4 s to reach all
	// instances, and their counts 0.2 s to come back.
	phaseTime = 800 * time.Millisecond
	// roomTime is the time for which the new version's servers must have had room at the end, which cannot be taken
	// back: the old ones stop. The measured use dips for up to a second.
	roomTime = 2 * time.Second
	// maxUse is the mean use of the new version's servers, as a part of the calls at which they work at full
	// pace, beyond which they cannot carry the service: bursts bring half as many calls again.
	maxUse = 0.65
	// rareShare is the share of a route with few calls, so that a version
	// that fails on it alone is found.
	rareShare ident.Share = 300
)

// Order asks to move the calls of a service to a version.
type Order struct {
	Service ident.ServiceName
	Attempt ident.Attempt
	Version ident.VersionName
	// Duration is the time within which the rollout must end.
	Duration time.Duration
	// Begun says that the store holds a phase. Age is then the time since the order, as far as it is known.
	Begun bool
	Phase Phase
	Age   time.Duration
	// Revision is that of the object in the store.
	Revision ident.Revision
}

// Trial is the newest rollout of one service as one instance sees it, where one instance decides for all
// and the store holds the decision. It is not safe for concurrent use.
type Trial struct {
	self  ident.InstanceID
	order *Order
	phase Phase
	// withheld says that this instance has heard of evidence that is not in the store yet.
	withheld bool
	// since is when the order became known, entered when the phase did, and tight when the new version's servers
	// last had too little room.
	since, entered, tight time.Time
	// latencies outlive the orders, so that a threshold is known when one comes.
	latencies map[ident.RouteName]*quantile
	counter   *counter
	evidence  *evidence
	// heard holds the newest counts of each instance, and sum what all counted since the order.
	heard map[ident.InstanceID]map[countKey]Count
	sum   map[countKey]*Count
	// rates counts the stable servers' calls of each route since the order.
	rates map[ident.RouteName]int
}

// NewTrial returns the state without an order.
func NewTrial(self ident.InstanceID) *Trial {
	return &Trial{self: self, latencies: make(map[ident.RouteName]*quantile)}
}

// SetOrder follows the store. A nil order says that there is none.
func (t *Trial) SetOrder(o *Order, now time.Time) {
	if o == nil {
		t.order = nil
		return
	}
	if t.order == nil || t.order.Attempt != o.Attempt || t.order.Version != o.Version {
		t.start(now.Add(-min(o.Age, o.Duration)))
	}
	t.order = o
	if o.Begun && o.Phase > t.phase {
		t.enter(o.Phase, now)
	}
}

func (t *Trial) start(now time.Time) {
	t.since, t.entered, t.tight, t.phase, t.withheld = now, now, time.Time{}, PhaseTrial, false
	m := table.RolloutSpec{From: labelStable, To: labelTrial}
	t.counter, t.evidence = newCounter(m), newEvidence(m)
	t.counter.routes = t.latencies
	t.heard = make(map[ident.InstanceID]map[countKey]Count)
	t.sum = make(map[countKey]*Count)
	t.rates = make(map[ident.RouteName]int)
}

func (t *Trial) enter(p Phase, now time.Time) {
	t.phase, t.entered = p, now
	t.evidence.newStage()
}

// Age returns the time since the order.
func (t *Trial) Age(now time.Time) time.Duration { return now.Sub(t.since) }

// Order returns the current order, or nil.
func (t *Trial) Order() *Order { return t.order }

// Phase returns the phase as this instance acts on it.
func (t *Trial) Phase() Phase {
	if t.withheld {
		return PhaseReverted
	}
	return t.phase
}

// Live reports whether there is a rollout that can still change.
func (t *Trial) Live() bool { return t.order != nil && !t.phase.Ended() }

// Observe counts the outcome of a call. The latency must be that at full speed.
func (t *Trial) Observe(o route.TryOutcome) {
	onTrial := t.order != nil && o.Version == t.order.Version
	if !t.Live() {
		if q := t.quantile(o.Route); o.Result == route.ResultOK && !onTrial {
			q.add(o.Latency)
		}
		return
	}
	if onTrial {
		o.Version = labelTrial
	} else {
		o.Version = labelStable
		t.rates[o.Route]++
	}
	t.counter.add(o, false)
}

func (t *Trial) quantile(r ident.RouteName) *quantile {
	q, ok := t.latencies[r]
	if !ok {
		q = new(quantile)
		if len(t.latencies) < maxRoutes {
			t.latencies[r] = q
		}
	}
	return q
}

// Report returns the counts since the order, for the instance that decides.
func (t *Trial) Report() Report {
	return Report{
		Status: table.RolloutStatus{Service: t.order.Service, Attempt: t.order.Attempt},
		Counts: t.counter.list(),
	}
}

// Merge takes the counts of an instance, this one included. Counts of another order are ignored.
func (t *Trial) Merge(sender ident.InstanceID, r Report) {
	if !t.Live() || r.Status.Attempt != t.order.Attempt {
		return
	}
	last := t.heard[sender]
	next := make(map[countKey]Count, len(r.Counts))
	for _, c := range r.Counts {
		k := countKey{c.Version, c.Route}
		next[k] = c
		old := last[k]
		if c.Calls < old.Calls {
			// The sender has started again.
			old = Count{}
		}
		t.add(k, c, old)
	}
	t.heard[sender] = next
}

// add adds what is new in a count.
func (t *Trial) add(k countKey, c, old Count) {
	s, ok := t.sum[k]
	if !ok {
		s = &Count{Version: k.version, Route: k.route}
		t.sum[k] = s
	}
	s.Calls += c.Calls - old.Calls
	s.Failures += max(0, c.Failures-old.Failures)
	s.Timed += max(0, c.Timed-old.Timed)
	s.Slow += max(0, c.Slow-old.Slow)
}

// weigh takes what all instances counted since the last time as one period: an instance alone has too few
// calls of both versions at a time to compare them.
func (t *Trial) weigh() {
	counts := make([]Count, 0, len(t.sum))
	for _, c := range t.sum {
		counts = append(counts, *c)
	}
	t.evidence.merge("", counts, nil, t.phase >= PhaseWhole)
}

// Withhold keeps this instance's calls from the new version, on the word of the one that decides.
func (t *Trial) Withhold() { t.withheld = true }

// Decide returns the phase that the rollout should have and why. servers is the number of servers of the
// new version that may take calls, and use the mean part that is used of
// the calls at which they work at full pace.
func (t *Trial) Decide(servers int, use float64, now time.Time) (Phase, string) {
	if !t.Live() {
		return t.phase, ""
	}
	t.weigh()
	if bad, why := t.bad(); bad {
		return PhaseReverted, why
	}
	if part := t.part(now); part >= lastPart {
		return PhaseReverted, fmt.Sprintf("deadline is near in phase %s after %d calls, with %.2f of the servers' room used", t.phase, t.tried(), use)
	}
	if servers == 0 || t.phase != PhaseTrial && use > maxUse {
		t.tight = now
	}
	return t.advance(now)
}

// part returns the part of the time to the deadline that has passed.
func (t *Trial) part(now time.Time) float64 {
	return float64(now.Sub(t.since)) / float64(t.order.Duration)
}

// advance returns the phase that is due by the time and the calls so far.
func (t *Trial) advance(now time.Time) (Phase, string) {
	if _, v := t.evidence.worst(); now.Sub(t.entered) < phaseTime || now.Sub(t.tight) < phaseTime || v >= math.Log(suspicion) {
		return t.phase, ""
	}
	part := t.part(now)
	switch {
	case t.phase == PhaseTrial && part >= quarterPart && t.tried() >= trialCalls:
		return PhaseQuarter, "trial passed"
	case t.phase == PhaseQuarter && part >= halfPart, t.phase == PhaseHalf && part >= wholePart:
		return t.phase + 1, "step passed"
	case t.phase == PhaseWhole && part >= donePart && now.Sub(t.tight) >= roomTime:
		return PhaseDone, "all calls are served by the new version"
	}
	return t.phase, ""
}

// tried returns the number of the new version's calls since the order.
func (t *Trial) tried() int {
	if s := t.evidence.totals[scope{"", metricFailures}]; s != nil {
		return s.newCalls
	}
	return 0
}

// bad reports whether the evidence against the new version is significant. A trial has one server or few, so
// that one at fault cannot be told from its version: taking a good version back costs less than a bad one.
func (t *Trial) bad() (bool, string) {
	sc, v := t.evidence.worst()
	if v < -math.Log(falseAlarm) {
		return false, ""
	}
	s := t.evidence.totals[sc]
	return true, fmt.Sprintf("%s on route %q: %d of %d calls, others %d of %d", sc.metric, sc.route,
		s.newBad, s.newCalls, s.oldBad, s.oldCalls)
}

// Shares returns the share of each route's calls that the new version gets, and that of further routes.
// During the trial, rare routes get a larger one, because the bound holds for the sum.
func (t *Trial) Shares() (map[ident.RouteName]ident.Share, ident.Share) {
	share := t.Phase().Share()
	if t.Phase() != PhaseTrial {
		return nil, share
	}
	total := 0
	for _, n := range t.rates {
		total += n
	}
	out := make(map[ident.RouteName]ident.Share)
	for r, n := range t.rates {
		if n*len(t.rates) < total/2 {
			out[r] = rareShare
		}
	}
	return out, share
}
