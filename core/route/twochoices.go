package route

import (
	"math/rand/v2"
	"time"
)

// TwoChoices picks two random servers with free slots by weight and takes the one with fewer calls in flight
// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
type TwoChoices struct{}

var _ Picker = TwoChoices{}

// Pick implements Picker.
func (TwoChoices) Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	return chooseAndAcquire(twoChoices, servers, now, rng)
}

func twoChoices(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	a, b := random(servers, now, rng), random(servers, now, rng)
	if a == nil || b == nil || a.Load.Inflight() <= b.Load.Inflight() {
		return a
	}
	return b
}
