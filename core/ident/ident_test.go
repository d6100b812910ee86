package ident_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
)

// Guards against durations that depend on the processor: the conversion of a large number or of NaN to an integer
// differs between amd64 and arm64.
func TestDurationOf(t *testing.T) {
	for n, want := range map[float64]time.Duration{
		0: 0, -1: 0, math.Inf(-1): 0, 1.5: 1500 * time.Millisecond, 1e300: ident.MaxDuration, math.Inf(1): ident.MaxDuration,
	} {
		require.Equal(t, want, ident.DurationOf(n, time.Second), "%v", n)
	}
	require.Zero(t, ident.DurationOf(math.NaN(), time.Second))
}
