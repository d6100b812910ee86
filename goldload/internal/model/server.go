package model

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
)

// server is one backend server.
type server struct {
	roster.Server
	inflight ident.Slots
	// peak is the largest number of calls in flight so far.
	peak ident.Slots
	// slow are the times at which a noisy neighbour slows the server, in order.
	slow []span
	// failing is the time in which every call fails at once.
	failing span
	// cold is the time at which the server restarted without notice, or 0; warm counts its calls since.
	cold time.Duration
	warm int
	// report gives the load that the server reports; nil reports the truth.
	report func(now time.Duration) ident.Slots
}

// span is a time from start to end, exclusive.
type span struct{ start, end time.Duration }

// Constants of the faults.
const (
	noiseFactor = 8
	coldFactor  = 8
	// warmCalls is the number of calls after which a cold server is warm.
	warmCalls = 100
	// failTime is the time in which a failing server responds.
	failTime = 200 * time.Microsecond
)

// finish returns when a call that starts now is done, and whether it fails.
func (s *server) finish(now, work time.Duration) (time.Duration, bool) {
	if now >= s.failing.start && now < s.failing.end {
		return now + failTime, true
	}
	if s.cold > 0 && now >= s.cold && s.warm < warmCalls {
		s.warm++
		part := float64(warmCalls-s.warm) / warmCalls
		// A cold server also suffers from calls at the same time.
		work = time.Duration(float64(work) * (1 + part*(coldFactor-1)) * (1 + part*float64(s.inflight-1)))
	}
	return s.slowed(now, work), false
}

// slowed returns when the work is done if it goes on noiseFactor times slower in the slow spans.
func (s *server) slowed(now, work time.Duration) time.Duration {
	for _, p := range s.slow {
		if p.end <= now {
			continue
		}
		if p.start > now {
			if work <= p.start-now {
				return now + work
			}
			work -= p.start - now
			now = p.start
		}
		if work*noiseFactor <= p.end-now {
			return now + work*noiseFactor
		}
		work -= (p.end - now) / noiseFactor
		now = p.end
	}
	return now + work
}

func (s *server) start() {
	s.inflight++
	s.peak = max(s.peak, s.inflight)
}
