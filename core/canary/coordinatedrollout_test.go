package canary_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
)

// coordinatedSim runs several instances in virtual time, of which one decides about a rollout.
type coordinatedSim struct {
	rng      *rand.Rand
	now      time.Time
	rollouts []*canary.CoordinatedRollout
	// rate is the number of calls per second, and failing the fraction of the new version's calls
	// that fail.
	rate    int
	failing float64
	// baseline is the fraction of the other calls that fail.
	baseline float64
	// slow is the latency factor of the new version.
	slow float64
	// badFrom is the time after the order at which the new version turns bad.
	badFrom time.Duration
	// newCalls counts the new version's calls, and all those of both versions.
	newCalls, all int
}

func newCoordinatedSim(seed uint64, instances, rate int) *coordinatedSim {
	w := &coordinatedSim{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e6, 0), rate: rate, baseline: 0.004, slow: 1}
	for range instances {
		w.rollouts = append(w.rollouts, canary.NewCoordinatedRollout("i"))
	}
	return w
}

// run simulates the time to the order's deadline and returns the last phase and the time at which it was
// reached.
func (w *coordinatedSim) run(warm, duration time.Duration) (canary.Phase, time.Duration) {
	const step = 200 * time.Millisecond
	for t := time.Duration(0); t < warm; t += step {
		w.calls(step, 0)
	}
	order := &canary.RolloutOrder{Service: "s", Attempt: 1, Version: "v2", Duration: duration}
	for _, t := range w.rollouts {
		t.SetOrder(order, w.now)
	}
	start := w.now
	for w.now.Sub(start) < duration {
		w.calls(step, w.now.Sub(start))
		decider := w.rollouts[0]
		for i, t := range w.rollouts {
			decider.MergeCounts(ident.InstanceID(rune('a'+i)), t.Report())
		}
		phase := decider.Decide(canary.Servers{New: 18, Utilization: 0.4, Others: 18}, w.now).Phase
		if phase != decider.Phase() {
			next := *order
			next.HasPhase, next.Phase = true, phase
			for _, t := range w.rollouts {
				t.SetOrder(&next, w.now)
			}
		}
		if phase.Ended() {
			return phase, w.now.Sub(start)
		}
	}
	return w.rollouts[0].Phase(), duration
}

// calls simulates the calls of all instances in one step.
func (w *coordinatedSim) calls(step, age time.Duration) {
	w.now = w.now.Add(step)
	for range int(float64(w.rate) * step.Seconds()) {
		t := w.rollouts[w.rng.IntN(len(w.rollouts))]
		o := route.TryOutcome{Route: "r", Version: "v1", Latency: time.Duration((60 + 60*w.rng.Float64()) * float64(time.Millisecond))}
		share := ident.Share(0)
		if t.Order() != nil {
			_, share = t.Shares()
		}
		failing := w.baseline
		w.all++
		if w.rng.IntN(1000) < int(share) {
			w.newCalls++
			o.Version = "v2"
			if age >= w.badFrom {
				failing = w.failing
				o.Latency = time.Duration(float64(o.Latency) * w.slow)
			}
		}
		if w.rng.Float64() < failing {
			o.Result = route.ResultFailed
		}
		t.RecordOutcome(o)
	}
}

// Guards against a bad version that gets too many calls, and against a good one that is rolled back. The
// operators' limit for a bad version is a tenth of the calls plus 50.
func TestBadVersionIsRolledBack(t *testing.T) {
	const duration = 16 * time.Second
	tests := []struct {
		name     string
		rate     int
		failing  float64
		baseline float64
		slow     float64
		from     time.Duration
		want     canary.Phase
	}{
		{name: "good", rate: 100, failing: 0.004, baseline: 0.004, slow: 1, want: canary.PhaseDone},
		{name: "good among failures", rate: 100, failing: 0.05, baseline: 0.05, slow: 1, want: canary.PhaseDone},
		{name: "errors", rate: 100, failing: 0.45, baseline: 0.004, slow: 1, want: canary.PhaseReverted},
		{name: "some errors", rate: 100, failing: 0.25, baseline: 0.02, slow: 1, want: canary.PhaseReverted},
		{name: "late errors", rate: 100, failing: 0.45, baseline: 0.004, slow: 1, from: 3 * time.Second, want: canary.PhaseReverted},
		{name: "errors with many calls", rate: 280, failing: 0.45, baseline: 0.004, slow: 1, want: canary.PhaseReverted},
		{name: "slow", rate: 100, failing: 0.004, baseline: 0.004, slow: 8, want: canary.PhaseReverted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(40) {
				w := newCoordinatedSim(seed, 16, tt.rate)
				w.failing, w.baseline, w.slow, w.badFrom = tt.failing, tt.baseline, tt.slow, tt.from
				phase, at := w.run(4*time.Second, duration)
				require.Equal(t, tt.want, phase, "seed %d, at %s", seed, at)
				if tt.want == canary.PhaseReverted {
					require.LessOrEqual(t, w.newCalls, w.all/10+50, "seed %d, at %s", seed, at)
				}
			}
		})
	}
}

// Guards against a rollout that completes while the new version's servers have too little capacity, also
// when the measured utilization dips for a moment or for a second.
func TestCompletionNeedsCapacity(t *testing.T) {
	for name, dips := range map[string]func(step int) bool{
		"short dips": func(i int) bool { return i%5 == 0 },
		"long dips":  func(i int) bool { return (i+5)%10 > 2 },
	} {
		t.Run(name, func(t *testing.T) { testCompletionNeedsCapacity(t, dips) })
	}
}

func testCompletionNeedsCapacity(t *testing.T, dips func(step int) bool) {
	w := newCoordinatedSim(1, 4, 100)
	w.failing = 0.004
	order := &canary.RolloutOrder{Service: "s", Attempt: 1, Version: "v2", Duration: 16 * time.Second, HasPhase: true, Phase: canary.PhaseWhole}
	rollout := w.rollouts[0]
	rollout.SetOrder(order, w.now)
	for i := range 75 {
		w.calls(200*time.Millisecond, 0)
		rollout.MergeCounts("a", rollout.Report())
		use := 0.9
		if dips(i) {
			use = 0.5
		}
		phase := rollout.Decide(canary.Servers{New: 12, Utilization: use, Others: 12}, w.now).Phase
		require.Equal(t, canary.PhaseWhole, phase, "step %d", i)
	}
	w.now = w.now.Add(2 * time.Second)
	d := rollout.Decide(canary.Servers{New: 12, Utilization: 0.9, Others: 12}, w.now)
	require.Equal(t, canary.PhaseReverted, d.Phase)
	require.Contains(t, d.Reason, "capacity")
	require.False(t, d.Bad, "a version without enough capacity is withheld before the store holds the rollback")
}
