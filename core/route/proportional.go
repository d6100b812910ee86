package route

import (
	"math/rand/v2"
	"time"
)

// maxScored is the number of servers that Proportional scores for one call.
const maxScored = 64

// Proportional draws a server with a free slot in proportion to weight / cost^6. Equal servers get
// traffic by their weights, and one that is three times slower gets 1/729. In goldload compare powers of
// 2 and 3 had a higher p99 with noisy neighbours, and 8 was no better. Out of more than maxScored servers it scores a random run of maxScored.
type Proportional struct{}

var _ Picker = Proportional{}

// Pick implements Picker.
func (Proportional) Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	if len(servers) <= maxScored {
		return acquire(proportional, servers, now, rng)
	}
	// The run wraps around by trying the start of the list when its own part is full.
	at := rng.IntN(len(servers))
	if s := acquire(proportional, servers[at:min(at+maxScored, len(servers))], now, rng); s != nil {
		return s
	}
	return acquire(leastCost, servers, now, rng)
}

func proportional(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	var odds [maxScored]float64
	unknown := meanLatency(servers, now)
	total := 0.0
	for i, s := range servers {
		if s.free() {
			c := unknown / s.cost(now, unknown)
			c *= c * c
			odds[i] = float64(s.Weight) * c * c
			total += odds[i]
		}
	}
	if total == 0 {
		return nil
	}
	at := rng.Float64() * total
	var last *Server
	for i, s := range servers {
		if odds[i] == 0 {
			continue
		}
		last = s
		if at -= odds[i]; at < 0 {
			return s
		}
	}
	return last
}
