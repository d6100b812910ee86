package route

import (
	"math/rand/v2"
	"time"
)

// Picker is a load-balancing policy. Pick chooses one of the servers, acquires a slot there and returns the
// server, or returns nil if no slot is free. now is a reading of the boot-time clock.
type Picker interface {
	Pick(servers []*Server, now time.Duration, rng *rand.Rand) *Server
}

// chooseFunc returns one of the servers with a free slot, or nil if there is none.
type chooseFunc func(servers []*Server, now time.Duration, rng *rand.Rand) *Server

// chooseAndAcquire acquires a slot at the chosen server. It chooses again if another goroutine has taken the
// last free slot there.
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
