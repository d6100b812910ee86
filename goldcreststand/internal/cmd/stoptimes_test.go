package cmd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/duty"
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

// Guards against a stop that leaves no time for the last counts of usage, or none for the responses to canceled calls.
func TestAnswerTime(t *testing.T) {
	without, with := new(instance), &instance{meter: new(duty.Meter)}
	require.Equal(t, 600*time.Millisecond, without.answerTime(6*time.Second))
	require.Equal(t, 300*time.Millisecond, with.answerTime(6*time.Second))
	require.Equal(t, 700*time.Millisecond, with.answerTime(10*time.Second))
	require.Equal(t, 100*time.Millisecond, with.answerTime(2*time.Second))
}
