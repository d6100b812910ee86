package spread_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/spread"
)

// Guards against calls that are accepted late in a planned stop and cut off at its end, while their servers execute them, and
// against calls that are rejected although there is time for them.
func TestStopAccepts(t *testing.T) {
	since := time.Unix(1e6, 0)
	stop := spread.Stop{Since: since, Until: since.Add(9 * time.Second)}
	tests := []struct {
		name        string
		stop        spread.Stop
		at, timeout time.Duration
		want        bool
	}{
		{name: "no stop", timeout: time.Hour, want: true},
		{name: "early, long timeout", stop: stop, at: 2900 * time.Millisecond, timeout: 8 * time.Second, want: true},
		{name: "late, long timeout", stop: stop, at: 3700 * time.Millisecond, timeout: 8 * time.Second},
		{name: "late, ends in time", stop: stop, at: 3700 * time.Millisecond, timeout: 5300 * time.Millisecond, want: true},
		{name: "late, ends after the stop", stop: stop, at: 3700 * time.Millisecond, timeout: 5301 * time.Millisecond},
		{name: "after the stop", stop: stop, at: 9 * time.Second, timeout: time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := since.Add(tt.at)
			require.Equal(t, tt.want, tt.stop.Accepts(now, now.Add(tt.timeout)))
		})
	}
}
