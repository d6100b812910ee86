package notice_test

import (
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/notice"
)

// Guards against requests to a server that is leaving or has asked for a pause, and against a pause that is cut short
// by a later, shorter one.
func TestAvailability(t *testing.T) {
	var a notice.Availability
	require.True(t, a.Available(time.Second))
	a.Record(time.Second, notice.Notice{Pause: 4 * time.Second})
	a.Record(2*time.Second, notice.Notice{Pause: time.Second})
	a.Record(2*time.Second, notice.Notice{})
	require.False(t, a.Available(5*time.Second-1))
	require.Equal(t, time.Second, a.PauseLeft(4*time.Second))
	require.True(t, a.Available(5*time.Second))

	a.Record(6*time.Second, notice.Notice{Leaving: true})
	a.Record(6*time.Second, notice.Notice{})
	require.False(t, a.Available(time.Hour))
}

// Guards against a server that makes itself unavailable for good by an absurd value.
func TestPauseIsBounded(t *testing.T) {
	var a notice.Availability
	a.Record(0, notice.Notice{Pause: 1 << 62})
	require.Equal(t, notice.MaxPause, a.PauseLeft(0))
}

// Guards against a lost pause when several connections to a server report one at the same time.
func TestConcurrentPauses(t *testing.T) {
	var a notice.Availability
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() { a.Record(0, notice.Notice{Pause: time.Duration(i+1) * time.Second}) })
	}
	wg.Wait()
	require.Equal(t, 32*time.Second, a.PauseLeft(0))
}

// Guards against calls that wait although every server has asked for a pause, and against a time of return that lies
// after the end of the first pause.
func TestUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := make(map[*notice.Availability]time.Duration)
		now := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "now"))
		n := rapid.IntRange(0, 6).Draw(t, "servers")
		available := 0
		var first time.Duration
		for range n {
			var a notice.Availability
			leaving := rapid.Bool().Draw(t, "leaving")
			pause := time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "pause"))
			a.Record(now, notice.Notice{Leaving: leaving, Pause: pause})
			pause = min(pause, notice.MaxPause)
			switch {
			case !leaving && pause == 0:
				available++
			case !leaving && (first == 0 || pause < first):
				first = pause
			}
			servers[&a] = now
		}
		after, unavailable := notice.Unavailable(maps.All(servers))
		require.Equal(t, n > 0 && available == 0, unavailable)
		if unavailable {
			require.Equal(t, first, after)
		}
	})
}
