package cmd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/duty"
)

// Guards against a stop that leaves no time for the last counts of usage, or none for the responses to canceled calls.
func TestAnswerTime(t *testing.T) {
	without, with := new(instance), &instance{meter: new(duty.Meter)}
	require.Equal(t, 600*time.Millisecond, without.answerTime(6*time.Second))
	require.Equal(t, 300*time.Millisecond, with.answerTime(6*time.Second))
	require.Equal(t, 700*time.Millisecond, with.answerTime(10*time.Second))
	require.Equal(t, 100*time.Millisecond, with.answerTime(2*time.Second))
}
