package route

import (
	"math/rand/v2"
	"time"
)

// LeastInflight chooses the server with the fewest calls in flight relative to its weight. Ties are broken
// at random to spread calls over idle servers.
type LeastInflight struct{}

var _ Picker = LeastInflight{}

// Pick implements Picker.
func (LeastInflight) Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	return chooseAndAcquire(leastInflight, servers, now, rng)
}

func leastInflight(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	var best *Server
	var bestScore float64
	ties := 0
	for _, s := range servers {
		if !s.available(now) {
			continue
		}
		score := float64(s.Load.Inflight()+1) / float64(s.Weight)
		switch {
		case best == nil || score < bestScore:
			best, bestScore, ties = s, score, 1
		case score == bestScore:
			ties++
			if rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}
