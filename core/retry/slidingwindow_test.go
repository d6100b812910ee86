package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/retry"
)

// Guards against more resends of one instance in any span of the window than the share of the calls and the extra
// resends allow.
func TestWindowBoundsEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calls, resends := useWindows(t, []*retry.SlidingWindow{retry.NewSlidingWindow(200, 3, windowLength, start)})
		for _, end := range resends {
			require.LessOrEqual(t, float64(within(resends, end)), 0.2*float64(within(calls, end))+3, "until %s", end)
			// A span that begins at the same time in all instances is where their bounds add up.
			last := end.Add(windowLength - 1)
			counted := 0.75*float64(within(calls, last)) + 0.25*float64(within(calls, end.Add(-1)))
			require.LessOrEqual(t, float64(within(resends, last)), 0.2*counted+3, "from %s", end)
		}
	})
}

// Guards against more resends of all instances together than the configuration allows, relative to the most calls
// in the window, in the one before it or in that half a window earlier. As in goldcreststand, the extra resends are
// divided by the number of instances plus four.
func TestWindowsBoundResendsOfAllInstances(t *testing.T) {
	const extra, spare = 12, 4
	rapid.Check(t, func(t *rapid.T) {
		windows := make([]*retry.SlidingWindow, rapid.IntRange(2, 8).Draw(t, "instances"))
		for i := range windows {
			windows[i] = retry.NewSlidingWindow(200, extra/float64(len(windows)+spare), windowLength, start)
		}
		calls, resends := useWindows(t, windows)
		for _, end := range resends {
			counted := max(within(calls, end), within(calls, end.Add(-windowLength/2)), within(calls, end.Add(-windowLength)))
			require.LessOrEqual(t, float64(within(resends, end)), 0.2*float64(counted)+extra, "until %s", end)
		}
	})
}

const windowLength = 10 * time.Second

// useWindows records random calls and requests random resends, and returns the times of both.
func useWindows(t *rapid.T, windows []*retry.SlidingWindow) (calls, resends []time.Time) {
	now := start
	for range rapid.IntRange(1, 300).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		w := windows[rapid.IntRange(0, len(windows)-1).Draw(t, "instance")]
		if rapid.Bool().Draw(t, "call") {
			w.Deposit(now)
			calls = append(calls, now)
		} else if w.Withdraw(now) {
			resends = append(resends, now)
		}
	}
	return calls, resends
}

// within counts the times in the window that ends at the given time.
func within(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < windowLength {
			n++
		}
	}
	return n
}

// Guards against a budget that stays exhausted.
func TestWindowRecovers(t *testing.T) {
	w := retry.NewSlidingWindow(0, 2, 10*time.Second, start)
	require.True(t, w.Withdraw(start))
	require.True(t, w.Withdraw(start))
	require.False(t, w.Withdraw(start.Add(5*time.Second)))
	require.True(t, w.Withdraw(start.Add(time.Minute)))
	w.SetExtra(0)
	require.False(t, w.Withdraw(start.Add(2*time.Minute)))
}
