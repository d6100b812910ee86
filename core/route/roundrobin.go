package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RoundRobin chooses the next server with a free slot. It ignores weights other than 0.
type RoundRobin struct {
	next atomic.Uint64
}

var _ Picker = (*RoundRobin)(nil)

// Pick implements Picker.
func (r *RoundRobin) Pick(servers []*Server, now time.Duration, _ *rand.Rand) *Server {
	n := uint64(len(servers))
	for range n {
		s := servers[r.next.Add(1)%n]
		if s.available(now) && s.Load.Acquire(s.MaxInflight) {
			s.Load.recordStart(now)
			return s
		}
	}
	return nil
}
