package cmd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that is killed before its end because the process stood still when the signal came, one that cancels calls
// sooner than that needs, and one without any time.
func TestLateStart(t *testing.T) {
	tests := []struct{ standstill, want time.Duration }{
		{standstill: 0, want: 0},
		{standstill: 500 * time.Millisecond, want: 0},
		{standstill: 800 * time.Millisecond, want: 300 * time.Millisecond},
		{standstill: time.Hour, want: 2500 * time.Millisecond},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, lateStart(tt.standstill, 10*time.Second), "%v", tt.standstill)
	}
}
