package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/retry"
)

// Guards against a part by a number of instances that is too small, and against a number that is never forgotten.
func TestExtraShareFollowsLargestNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := retry.NewExtraShare(100, windowLength, start)
		// numbers holds the number of instances in each second.
		var numbers []int
		n := 0
		for range rapid.IntRange(1, 200).Draw(t, "seconds") {
			now := start.Add(time.Duration(len(numbers)) * time.Second)
			if n == 0 || rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				n = rapid.IntRange(1, 20).Draw(t, "instances")
				s.SetInstances(n, now)
			}
			numbers = append(numbers, n)
			want := 0.0
			if len(numbers) > 10 {
				largest := 0
				for _, m := range numbers[max(0, len(numbers)-61):] {
					largest = max(largest, m)
				}
				want = 100 / float64(largest)
			}
			require.InDelta(t, want, s.At(now), 1e-9)
		}
	})
}

// Guards against a whole share for an instance that does not know of any other one.
func TestExtraShareWithoutList(t *testing.T) {
	s := retry.NewExtraShare(100, windowLength, start)
	require.Zero(t, s.At(start.Add(time.Hour)))
}
