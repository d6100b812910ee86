package canary

import (
	"fmt"
	"math"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Tick updates the rollout's status and returns the report that is due to the other serving instances, or
// nil. rollouts is the number of rollouts for which this instance reports; they share the bandwidth for
// reports.
func (r *Rollout) Tick(rollouts int, now time.Time) *Report {
	if r.spec == nil {
		return nil
	}
	if r.active(now) && now.Sub(r.lastSample) >= sampleInterval {
		r.lastSample = now
		r.evidence.addReport(r.self, r.counter.sortedCounts(), r.counter.worstServers(), r.oldIdle())
		r.counter.decay()
		r.rollBackIfWorse(now)
	}
	if r.current.Outcome == table.OutcomeRunning {
		r.advance(now)
	}
	return r.dueReport(reportInterval*time.Duration(max(1, rollouts)), now)
}

func (r *Rollout) dueReport(interval time.Duration, now time.Time) *Report {
	switch {
	case !r.confirmed && now.Sub(r.lastRequest) >= statusRequestInterval:
		r.lastRequest = now
		return &Report{Status: r.current, StatusRequest: true}
	case r.pendingSends > 0:
		// A changed status is sent at once, without waiting for the next report interval.
		r.pendingSends--
		return &Report{Status: r.current, StatusRequest: !r.confirmed}
	case r.active(now) && r.confirmed && now.Sub(r.lastReport) >= interval:
		r.lastReport = now
		return &Report{Status: r.current, Counts: r.counter.sortedCounts(), BadCalls: r.counter.worstServers()}
	}
	return nil
}

// rollBackIfWorse rolls the rollout back when the evidence against the new version is significant.
func (r *Rollout) rollBackIfWorse(now time.Time) {
	if !r.active(now) {
		return
	}
	multipleServers := r.capacity.NewServers > 1
	if multipleServers {
		r.evidence.clear()
	}
	sc, v := r.evidence.strongest()
	if v < -math.Log(falseAlarmRate) || multipleServers && r.evidence.maybeFromOneServer(sc.metric) {
		return
	}
	t := r.evidence.totals[sc]
	where := "over all routes"
	if sc.route != "" {
		where = "on route " + string(sc.route)
	}
	r.rollBack(fmt.Sprintf("%s %s: %d of %d calls of version %s, %d of %d calls of version %s", sc.metric, where,
		t.newBad, t.newCalls, r.spec.To, t.oldBad, t.oldCalls, r.spec.From), now)
}

func (r *Rollout) rollBack(reason string, now time.Time) {
	r.decide(table.RolloutStatus{
		Service: r.service, Attempt: r.spec.Attempt, Outcome: table.OutcomeReverted, Stage: r.current.Stage, Reason: reason,
	}, now)
}

// advance moves a running rollout to its next stage, or rolls it back at the deadline. An instance without
// contact to a peer cannot know whether the rollout has finished elsewhere, so it only withholds its own
// calls from the new version.
func (r *Rollout) advance(now time.Time) {
	switch {
	case now.Before(r.spec.Deadline):
		if r.stagePassed(now) {
			r.promote(now)
		}
	case now.Before(r.spec.Deadline.Add(deadlineGrace)):
	case r.confirmed && now.Sub(r.lastContact) <= maxPeerSilence:
		r.rollBack(fmt.Sprintf("deadline passed at a share of %d ‰ with %d calls of version %s in the stage",
			r.stage().Share(), r.evidence.newCalls, r.spec.To), now)
	default:
		r.withheld = true
	}
}

func (r *Rollout) promote(now time.Time) {
	s := table.RolloutStatus{Service: r.service, Attempt: r.spec.Attempt, Stage: r.current.Stage + 1}
	if r.stage() == LastStage {
		s.Stage, s.Outcome = int(LastStage), table.OutcomeDone
	}
	r.decide(s, now)
}

// stagePassed reports whether the stage may end. A stage needs a minimum time and a number of calls of the
// new version. With too little traffic for that number, it ends once its part of the time to the deadline
// has passed, with the lower of lowTrafficCalls and half of the calls expected by its share; stages above
// a share of 5 % need at least minStageCalls. A rollout that does not get these calls is rolled back at
// the deadline.
func (r *Rollout) stagePassed(now time.Time) bool {
	if !r.confirmed || r.capacityShare() < r.stage().Share() || r.capacity.NewSlots == 0 {
		return false
	}
	budget := r.stageBudget()
	minTime := min(max(budget/2, min(minStageTime, budget)), maxStageTime)
	elapsed := now.Sub(r.stageStart)
	if elapsed < minTime {
		return false
	}
	_, v := r.evidence.strongest()
	if v >= math.Log(holdEvidence) {
		return false
	}
	e := r.evidence
	if e.newTimed >= requiredCalls(r.stage()) {
		return true
	}
	if elapsed < budget || v >= math.Log(lowTrafficHoldEvidence) {
		return false
	}
	expected := e.allCalls * int(r.stage().Share()) / int(ident.FullShare)
	minCalls := min(lowTrafficCalls, expected/2)
	if r.stage() >= 2 {
		minCalls = max(minCalls, minStageCalls)
	}
	return e.newCalls >= minCalls
}

func (r *Rollout) stage() Stage { return Stage(r.current.Stage) }

// stageBudget returns the time for the current stage: the time to the deadline, divided evenly among the
// stages left.
func (r *Rollout) stageBudget() time.Duration {
	remaining := r.spec.Deadline.Add(-deadlineReserve).Sub(r.stageStart)
	return max(0, remaining) / time.Duration(LastStage-r.stage()+1)
}
