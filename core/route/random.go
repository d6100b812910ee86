package route

import (
	"math/rand/v2"
	"time"
)

// Random chooses a server with a free slot at random, in proportion to the weights.
type Random struct{}

var _ Picker = Random{}

// Pick implements Picker.
func (Random) Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	return chooseAndAcquire(random, servers, now, rng)
}

func random(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	var total uint64
	for _, s := range servers {
		if s.available(now) {
			total += uint64(s.Weight)
		}
	}
	if total == 0 {
		return nil
	}
	at := rng.Uint64N(total)
	var last *Server
	for _, s := range servers {
		if !s.available(now) {
			continue
		}
		last = s
		if at < uint64(s.Weight) {
			return s
		}
		at -= uint64(s.Weight)
	}
	return last
}
