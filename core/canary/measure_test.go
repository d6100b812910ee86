package canary_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/table"
)

// callBehavior returns the failure probability and the latency factor of a call of the new version.
type callBehavior = func(in time.Duration, share float64, route, server int) (float64, float64)

func constant(fail, slow float64) callBehavior {
	return func(time.Duration, float64, int, int) (float64, float64) { return fail, slow }
}

func versionKinds() []versionKind {
	return []versionKind{
		{name: "good", good: true, bad: constant(0, 1)},
		{name: "good, 10 % slower", good: true, bad: constant(0, 1.1)},
		{name: "good, bursts slow both", good: true, burst: true, bad: constant(0, 1)},
		{name: "good, a server fails from 20 s", good: true, noisy: true, bad: func(in time.Duration, _ float64, _, server int) (float64, float64) {
			return map[bool]float64{true: 1}[server == 0 && in > 20*time.Second], 1
		}},
		{name: "all calls fail", bad: constant(1, 1)},
		{name: "20 % fail", bad: constant(0.2, 1)},
		{name: "5 % fail", bad: constant(0.05, 1)},
		{name: "2 % fail", bad: constant(0.02, 1)},
		{name: "twice as slow", bad: constant(0, 2)},
		{name: "four times as slow", bad: constant(0, 4)},
		{name: "four times as slow, 12 servers", servers: 12, bad: constant(0, 4)},
		{name: "30 % fail after 60 s", bad: func(in time.Duration, _ float64, _, _ int) (float64, float64) {
			return map[bool]float64{true: 0.3}[in > time.Minute], 1
		}},
		{name: "half fail from a share of 25 %", bad: func(_ time.Duration, share float64, _, _ int) (float64, float64) {
			return map[bool]float64{true: 0.5}[share >= 0.25], 1
		}},
		{name: "route with 8 % of the calls fails", bad: func(_ time.Duration, _ float64, route, _ int) (float64, float64) {
			return map[bool]float64{true: 1}[route == 2], 1
		}},
		{name: "route with 2 % of the calls fails", bad: func(_ time.Duration, _ float64, route, _ int) (float64, float64) {
			return map[bool]float64{true: 1}[route == 3], 1
		}},
	}
}

// result sums up the runs of one version at one call rate.
type result struct {
	kind             versionKind
	rate             float64
	runs             int
	done, rolledBack int
	// share is the mean percentage of all calls that went to the new version and failed or were slow.
	share float64
	ends  []time.Duration
	// late counts the runs with calls to the new version more than 2 s after the first instance rolled it
	// back.
	late int
}

func measure(k versionKind, rate float64, runs int) result {
	r := result{kind: k, rate: rate, runs: runs}
	for seed := range runs {
		s := newSim(k, rate, 5*time.Minute, uint64(seed))
		s.run(5 * time.Second)
		r.ends = append(r.ends, s.ended)
		r.share += 100 * float64(s.badNewCalls) / float64(max(1, s.calls)) / float64(runs)
		if s.final.Outcome == table.OutcomeDone {
			r.done++
			continue
		}
		r.rolledBack++
		if s.lastNewCall > s.ended+2*time.Second {
			r.late++
		}
	}
	slices.Sort(r.ends)
	return r
}

func (r result) String() string {
	return fmt.Sprintf("%-34s %6.0f %5d %5d %5d %11.3f %9.1f %9.1f %9.1f %5d", r.kind.name, r.rate, r.runs, r.done, r.rolledBack,
		r.share, r.ends[r.runs/2].Seconds(), r.ends[r.runs*9/10].Seconds(), r.ends[r.runs-1].Seconds(), r.late)
}

const header = "version                            call/s  runs  done  back bad calls %   end p50   end p90 end max s  late"

// Guards against false rollbacks, good versions that miss the deadline, bad versions that finish or get
// many calls, and calls to a bad version more than 2 s after the first instance rolled it back.
func TestRollouts(t *testing.T) {
	var b strings.Builder
	for _, k := range versionKinds() {
		for _, rate := range []float64{20, 200} {
			r := measure(k, rate, 3)
			fmt.Fprintln(&b, r)
			require.Zero(t, r.late, k.name)
			require.Less(t, r.share, 3.0, k.name)
			switch {
			case k.good && k.noisy:
			case k.good:
				require.Equal(t, r.runs, r.done, k.name)
			case rate >= 200:
				require.Equal(t, r.runs, r.rolledBack, k.name)
			}
		}
	}
	t.Logf("\n%s\n%s", header, b.String())
}

// BenchmarkRollouts prints the table of many rollouts; run it with -benchtime=1x.
func BenchmarkRollouts(b *testing.B) {
	for b.Loop() {
		fmt.Println(header)
		for _, k := range versionKinds() {
			for _, load := range []struct {
				rate float64
				runs int
			}{{20, 200}, {200, 100}, {1000, 20}} {
				fmt.Println(measure(k, load.rate, load.runs))
			}
		}
	}
}
