package route

import (
	"math/rand/v2"
	"time"
)

// LeastCost chooses the server with the lowest cost relative to its weight.
type LeastCost struct{}

var _ Picker = LeastCost{}

// Pick implements Picker.
func (LeastCost) Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	return chooseAndAcquire(leastCost, servers, now, rng)
}

func leastCost(servers []*Server, now time.Duration, _ *rand.Rand) *Server {
	defaultLatency := meanLatency(servers, now)
	var best *Server
	var bestCost float64
	for _, s := range servers {
		if !s.available(now) {
			continue
		}
		if c := s.cost(now, defaultLatency) / float64(s.Weight); best == nil || c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}

// meanLatency returns the mean of the known latencies, or 1 ns when none is known.
func meanLatency(servers []*Server, now time.Duration) float64 {
	sum, n := 0.0, 0
	for _, s := range servers {
		if l := s.Load.Latency(now); l > 0 {
			sum += float64(l)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
