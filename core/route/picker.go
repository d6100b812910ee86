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

// chooseFunc returns one of the servers with a free slot, or nil when there is none.
type chooseFunc func(servers []*Server, now time.Duration, rng *rand.Rand) *Server

// chooseAndAcquire takes a slot at the chosen server. It chooses again when another goroutine was faster.
func chooseAndAcquire(choose chooseFunc, servers []*Server, now time.Duration, rng *rand.Rand) *Server {
	for range servers {
		s := choose(servers, now, rng)
		if s == nil {
			return nil
		}
		if s.Load.Acquire(s.MaxInflight) {
			s.Load.recordStart(now)
			return s
		}
	}
	return nil
}
