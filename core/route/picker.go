package route

import (
	"math/rand/v2"
	"time"
)

// Picker chooses one of the servers, takes a slot there and returns it, or returns nil when no slot is
// free. The time is a reading of the boot-time clock.
type Picker interface {
	Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server
}

// choose returns one of the servers with a free slot, or nil when there is none.
type choose func(servers []*Server, now time.Duration, rng *rand.Rand) *Server

// acquire takes a slot at the chosen server. It chooses again when another goroutine was faster.
func acquire(c choose, servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	for range servers {
		s := c(servers, now, rng)
		if s == nil {
			return nil
		}
		if s.Load.Acquire(s.Share) {
			s.Load.begin(now)
			return s
		}
	}
	return nil
}
