package retry_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/retry"
)

// Guards against more resends of many instances together than the share of all calls and the extra resends allow, when
// each instance has few calls and its own largest number of them at a moment of its own.
func TestWindowsOfManyInstancesAddUp(t *testing.T) {
	const (
		instances, spare = 146, 4
		extra            = 222
		rejectFrom       = 12 * time.Second
		end              = 40 * time.Second
	)
	for _, tt := range []struct {
		name string
		// perSecond is the number of calls of all instances.
		perSecond func(time.Duration) float64
	}{
		{name: "steady", perSecond: func(time.Duration) float64 { return 900 }},
		{name: "few calls", perSecond: func(time.Duration) float64 { return 300 }},
		{name: "burst", perSecond: func(at time.Duration) float64 {
			if at > rejectFrom && at < rejectFrom+4*time.Second {
				return 900
			}
			return 520
		}},
		{name: "rise", perSecond: func(at time.Duration) float64 { return 200 + 40*at.Seconds() }},
		{name: "fall", perSecond: func(at time.Duration) float64 { return 1800 - 40*at.Seconds() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			windows := make([]*retry.SlidingWindow, instances)
			for i := range windows {
				windows[i] = retry.NewSlidingWindow(200, extra/float64(instances+spare), windowLength, start)
			}
			var calls, resends []time.Duration
			for at := time.Duration(0); at < end; {
				at += time.Duration(rng.ExpFloat64() / tt.perSecond(at) * float64(time.Second))
				w := windows[rng.IntN(instances)]
				w.Deposit(start.Add(at))
				calls = append(calls, at)
				if at >= rejectFrom && w.Withdraw(start.Add(at)) {
					resends = append(resends, at)
				}
			}
			require.NotEmpty(t, resends)
			for from := rejectFrom - windowLength; from < end; from += 100 * time.Millisecond {
				counted := max(countFrom(calls, from), countFrom(calls, from-windowLength/2), countFrom(calls, from-windowLength))
				require.LessOrEqual(t, float64(countFrom(resends, from)), 0.2*float64(counted)+extra, "from %s", from)
			}
		})
	}
}

// countFrom counts the times in the window that begins at the given time.
func countFrom(times []time.Duration, from time.Duration) int {
	until := func(d time.Duration) int { return sort.Search(len(times), func(i int) bool { return times[i] >= d }) }
	return until(from+windowLength) - until(from)
}
