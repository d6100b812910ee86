package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RoundRobin chooses the next server with a free slot. It ignores weights other than 0.
type RoundRobin struct {
	turn atomic.Uint64
}

var _ Picker = (*RoundRobin)(nil)

// Pick implements Picker.
func (r *RoundRobin) Pick(servers []*Server, now time.Duration, _ *rand.Rand) *Server {
	n := uint64(len(servers))
	for range n {
		s := servers[r.turn.Add(1)%n]
		if s.free() && s.Load.Acquire(s.Share) {
			s.Load.begin(now)
			return s
		}
	}
	return nil
}
