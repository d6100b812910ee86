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

// trialWorld is a fleet in virtual time in which one instance decides about a rollout.
type trialWorld struct {
	rng    *rand.Rand
	now    time.Time
	trials []*canary.Trial
	// rate is the number of calls per second, and failing the part of the new version's that fail.
	rate    int
	failing float64
	// baseline is the part of the other calls that fail.
	baseline float64
	// slow is the factor of the new version's latency.
	slow float64
	// from is when the new version turns bad.
	from time.Duration
	// shown counts the new version's calls, and all counts all.
	shown, all int
}

func newTrialWorld(seed uint64, instances, rate int) *trialWorld {
	w := &trialWorld{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e6, 0), rate: rate, baseline: 0.004, slow: 1}
	for range instances {
		w.trials = append(w.trials, canary.NewTrial("i"))
	}
	return w
}

// run lets the order's time pass and returns the last phase and the time at which it was reached.
func (w *trialWorld) run(warm, duration time.Duration) (canary.Phase, time.Duration) {
	const step = 200 * time.Millisecond
	for t := time.Duration(0); t < warm; t += step {
		w.calls(step, 0)
	}
	order := &canary.Order{Service: "s", Attempt: 1, Version: "v2", Duration: duration}
	for _, t := range w.trials {
		t.SetOrder(order, w.now)
	}
	start := w.now
	for w.now.Sub(start) < duration {
		w.calls(step, w.now.Sub(start))
		decider := w.trials[0]
		for i, t := range w.trials {
			decider.Merge(ident.InstanceID(rune('a'+i)), t.Report())
		}
		phase, _ := decider.Decide(18, 0.4, w.now)
		if phase != decider.Phase() {
			next := *order
			next.Begun, next.Phase = true, phase
			for _, t := range w.trials {
				t.SetOrder(&next, w.now)
			}
		}
		if phase.Ended() {
			return phase, w.now.Sub(start)
		}
	}
	return w.trials[0].Phase(), duration
}

// calls lets each instance make its calls of a step.
func (w *trialWorld) calls(step, age time.Duration) {
	w.now = w.now.Add(step)
	for range int(float64(w.rate) * step.Seconds()) {
		t := w.trials[w.rng.IntN(len(w.trials))]
		o := route.TryOutcome{Route: "r", Version: "v1", Latency: time.Duration((60 + 60*w.rng.Float64()) * float64(time.Millisecond))}
		share := ident.Share(0)
		if t.Order() != nil {
			_, share = t.Shares()
		}
		failing := w.baseline
		w.all++
		if w.rng.IntN(1000) < int(share) {
			w.shown++
			o.Version = "v2"
			if age >= w.from {
				failing = w.failing
				o.Latency = time.Duration(float64(o.Latency) * w.slow)
			}
		}
		if w.rng.Float64() < failing {
			o.Result = route.ResultFailed
		}
		t.Observe(o)
	}
}

// Guards against a bad version that gets more calls than it may have, and against a good one that is taken
// back. The bound is that of the operators: a tenth of the calls and 50.
func TestTrialsEndByTheVersion(t *testing.T) {
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
				w := newTrialWorld(seed, 16, tt.rate)
				w.failing, w.baseline, w.slow, w.from = tt.failing, tt.baseline, tt.slow, tt.from
				phase, at := w.run(4*time.Second, duration)
				require.Equal(t, tt.want, phase, "seed %d, at %s", seed, at)
				if tt.want == canary.PhaseReverted {
					require.LessOrEqual(t, w.shown, w.all/10+50, "seed %d, at %s", seed, at)
				}
			}
		})
	}
}

// Guards against a version that gets all calls for good while its servers have too little room, also when the
// measured use dips for a moment or for a second.
func TestTrialNeedsRoom(t *testing.T) {
	for name, dips := range map[string]func(step int) bool{
		"moments": func(i int) bool { return i%5 == 0 },
		"seconds": func(i int) bool { return (i+5)%10 > 2 },
	} {
		t.Run(name, func(t *testing.T) { testTrialNeedsRoom(t, dips) })
	}
}

func testTrialNeedsRoom(t *testing.T, dips func(step int) bool) {
	w := newTrialWorld(1, 4, 100)
	w.failing = 0.004
	order := &canary.Order{Service: "s", Attempt: 1, Version: "v2", Duration: 16 * time.Second, Begun: true, Phase: canary.PhaseWhole}
	trial := w.trials[0]
	trial.SetOrder(order, w.now)
	for i := range 75 {
		w.calls(200*time.Millisecond, 0)
		trial.Merge("a", trial.Report())
		use := 0.9
		if dips(i) {
			use = 0.5
		}
		phase, _ := trial.Decide(12, use, w.now)
		require.Equal(t, canary.PhaseWhole, phase, "step %d", i)
	}
	w.now = w.now.Add(2 * time.Second)
	phase, why := trial.Decide(12, 0.9, w.now)
	require.Equal(t, canary.PhaseReverted, phase)
	require.Contains(t, why, "room")
}
