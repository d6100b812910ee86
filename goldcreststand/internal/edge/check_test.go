package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/spread"
)

type staticViews struct{ v *spread.Snapshot }

func (s staticViews) Load() *spread.Snapshot { return s.v }

// Guards against an instance that has just started and may check too few servers, when its calls are the most, and
// against checks without a bound afterwards.
func TestChecksFromTheStart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := New(staticViews{&spread.Snapshot{CheckRate: 10}}, nil, nil, clock, nil, NewMetrics())
	for range startChecks {
		require.True(t, h.checks.AllowN(clock.Now(), 1))
	}
	h.limitChecks()
	clock.Advance(time.Minute)
	allowed := 0
	for range 1000 {
		if h.checks.AllowN(clock.Now(), 1) {
			allowed++
		}
	}
	require.Equal(t, int(10*checkBurst.Seconds()), allowed)
}
