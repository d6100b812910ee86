package route

import (
	"math/rand/v2"
	"time"
)

// maxScoredServers is the number of servers that Proportional scores for one call.
const maxScoredServers = 64

// Proportional chooses a server with a free slot at random, in proportion to weight / cost^6. Equal servers
// get traffic by their weights, and a server that is three times slower gets 1/729 of that. In goldload
// compare, powers of 2 and 3 had a higher p99 with noisy neighbours, and 8 was no better. With more than
// maxScoredServers servers it scores that many consecutive ones, from a random position.
type Proportional struct{}

var _ Picker = Proportional{}

// Pick implements Picker.
func (Proportional) Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	if len(servers) <= maxScoredServers {
		return chooseAndAcquire(proportional, servers, now, rng)
	}
	// The scored range is cut off at the end of the list; if it has no free slot, all servers are tried.
	at := rng.IntN(len(servers))
	if s := chooseAndAcquire(proportional, servers[at:min(at+maxScoredServers, len(servers))], now, rng); s != nil {
		return s
	}
	return chooseAndAcquire(leastCost, servers, now, rng)
}

func proportional(servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	var weights [maxScoredServers]float64
	defaultLatency := meanLatency(servers, now)
	total := 0.0
	for i, s := range servers {
		if s.available(now) {
			c := defaultLatency / s.cost(now, defaultLatency)
			c *= c * c
			weights[i] = float64(s.Weight) * c * c
			total += weights[i]
		}
	}
	if total == 0 {
		return nil
	}
	at := rng.Float64() * total
	var last *Server
	for i, s := range servers {
		if weights[i] == 0 {
			continue
		}
		last = s
		if at -= weights[i]; at < 0 {
			return s
		}
	}
	return last
}
