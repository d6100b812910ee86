package recent_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/recent"
	"goldcreststand.example/core/seeds"
)

func TestMain(m *testing.M) { os.Exit(seeds.Main(m)) }

// Guards against an extreme that misses a value of the last time of the length, or keeps an older one.
func TestExtremeAgainstOracle(t *testing.T) {
	const length = 6
	rapid.Check(t, func(t *rapid.T) {
		smallest, largest := recent.NewMin(length*time.Second, 0), recent.NewMax(length*time.Second, 0)
		// values holds the value in force in each second, of which length+1 lie in the last time of the length.
		values := []int{0}
		for i := range rapid.IntRange(1, 60).Draw(t, "seconds") {
			v := values[len(values)-1]
			if rapid.Bool().Draw(t, "change") {
				v = rapid.IntRange(-3, 3).Draw(t, "value")
			}
			values = append(values, v)
			now := time.Duration(i+1) * time.Second
			smallest.Observe(now, v)
			largest.Observe(now, v)
			last := values[max(0, len(values)-length-1):]
			require.Equal(t, slices.Min(last), smallest.Value())
			require.Equal(t, slices.Max(last), largest.Value())
			require.Equal(t, v, smallest.Last())
		}
	})
}
