package canary

import (
	"fmt"
	"math"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Tick lets time act and returns the report that is due to the other serving instances, or nil. rollouts is
// the number of this instance's rollouts that report, which share the bytes for messages.
func (r *Rollout) Tick(rollouts int, now time.Time) *Report {
	if r.move == nil {
		return nil
	}
	if r.live(now) && now.Sub(r.sampled) >= sampleInterval {
		r.sampled = now
		r.evidence.merge(r.self, r.counter.list(), r.counter.worst(), r.aloneNow())
		r.counter.decay()
		r.judge(now)
	}
	if r.current.Outcome == table.OutcomeRunning {
		r.advance(now)
	}
	return r.report(reportInterval*time.Duration(max(1, rollouts)), now)
}

func (r *Rollout) report(interval time.Duration, now time.Time) *Report {
	switch {
	case !r.confirmed && now.Sub(r.asked) >= askInterval:
		r.asked = now
		return &Report{Status: r.current, Asks: true}
	case r.announce > 0:
		// A decision does not wait for the next counts.
		r.announce--
		return &Report{Status: r.current, Asks: !r.confirmed}
	case r.live(now) && r.confirmed && now.Sub(r.reported) >= interval:
		r.reported = now
		return &Report{Status: r.current, Counts: r.counter.list(), Suspects: r.counter.worst()}
	}
	return nil
}

// judge rolls the rollout back when the evidence against the new version is significant.
func (r *Rollout) judge(now time.Time) {
	if !r.live(now) {
		return
	}
	several := r.capacity.NewServers > 1
	if several {
		r.evidence.clear()
	}
	sc, v := r.evidence.worst()
	if v < -math.Log(falseAlarm) || several && r.evidence.doubtful(sc.metric) {
		return
	}
	t := r.evidence.totals[sc]
	where := "over all routes"
	if sc.route != "" {
		where = "on route " + string(sc.route)
	}
	r.revert(fmt.Sprintf("%s %s: %d of %d calls of version %s, %d of %d calls of version %s", sc.metric, where,
		t.newBad, t.newCalls, r.move.To, t.oldBad, t.oldCalls, r.move.From), now)
}

func (r *Rollout) revert(reason string, now time.Time) {
	r.set(table.RolloutStatus{
		Service: r.service, Attempt: r.move.Attempt, Outcome: table.OutcomeReverted, Stage: r.current.Stage, Reason: reason,
	}, now)
}

// advance moves a running rollout to its next stage, or ends it at the deadline. An instance that
// hears nobody cannot know whether the rollout has finished elsewhere: it only withholds its own calls
// from the new version.
func (r *Rollout) advance(now time.Time) {
	switch {
	case now.Before(r.move.Deadline):
		if r.passed(now) {
			r.promote(now)
		}
	case now.Before(r.move.Deadline.Add(grace)):
	case r.confirmed && now.Sub(r.heard) <= newsTime:
		r.revert(fmt.Sprintf("deadline passed at a share of %d ‰ with %d calls of version %s in the stage",
			r.stage().Share(), r.evidence.newCalls, r.move.To), now)
	default:
		r.withheld = true
	}
}

func (r *Rollout) promote(now time.Time) {
	s := table.RolloutStatus{Service: r.service, Attempt: r.move.Attempt, Stage: r.current.Stage + 1}
	if r.stage() == Last {
		s.Stage, s.Outcome = int(Last), table.OutcomeDone
	}
	r.set(s, now)
}

// passed reports whether the stage has shown what it can show. A stage needs a time and a number of
// calls of the new version. When the traffic is too little for that number, the stage ends after its
// even part of the time to the deadline with few calls or half of the calls that its share promised,
// and above 5 % with leastCalls in any case; a rollout that never gets there is rolled back at the
// deadline.
func (r *Rollout) passed(now time.Time) bool {
	if !r.confirmed || r.room() < r.stage().Share() || r.capacity.New == 0 {
		return false
	}
	allotment := r.allotment()
	dwell := min(max(allotment/2, min(minDwell, allotment)), maxDwell)
	in := now.Sub(r.stageFrom)
	if in < dwell {
		return false
	}
	_, v := r.evidence.worst()
	if v >= math.Log(suspicion) {
		return false
	}
	e := r.evidence
	if e.newTimed >= needCalls(r.stage()) {
		return true
	}
	if in < allotment || v >= math.Log(doubt) {
		return false
	}
	promised := e.allCalls * int(r.stage().Share()) / int(ident.FullShare)
	few := min(fewCalls, promised/2)
	if r.stage() >= 2 {
		few = max(few, leastCalls)
	}
	return e.newCalls >= few
}

func (r *Rollout) stage() Stage { return Stage(r.current.Stage) }

// allotment returns the even part of the time to the deadline for the current stage.
func (r *Rollout) allotment() time.Duration {
	left := r.move.Deadline.Add(-reserve).Sub(r.stageFrom)
	return max(0, left) / time.Duration(Last-r.stage()+1)
}
