package model

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
)

// server is one simulated backend server.
type server struct {
	roster.Server
	inflight ident.Slots
	// peak is the largest number of calls in flight so far.
	peak ident.Slots
	// slowSpans are the times in which a noisy neighbour slows the server, in ascending order.
	slowSpans []span
	// failureSpan is the time in which every call fails immediately.
	failureSpan span
	// coldSince is the time at which the server restarted without notice, or 0 if it did not; callsSinceCold
	// counts the calls after it.
	coldSince      time.Duration
	callsSinceCold int
	// reportLoad returns the load that the server reports; if nil, the server reports its actual load.
	reportLoad func(now time.Duration) ident.Slots
}

// span is the time from start up to, but not including, end.
type span struct{ start, end time.Duration }

// Parameters of the faults. The factors are those by which work takes longer.
const (
	noiseFactor = 8
	coldFactor  = 8
	// warmCalls is the number of calls after which a cold server has its normal speed.
	warmCalls = 100
	// failureResponseTime is the time that a failing server takes for a call.
	failureResponseTime = 200 * time.Microsecond
)

// completionTime returns the time at which a call that starts now completes, and whether it fails.
func (s *server) completionTime(now, workTime time.Duration) (time.Duration, bool) {
	if now >= s.failureSpan.start && now < s.failureSpan.end {
		return now + failureResponseTime, true
	}
	if s.coldSince > 0 && now >= s.coldSince && s.callsSinceCold < warmCalls {
		s.callsSinceCold++
		coldness := float64(warmCalls-s.callsSinceCold) / warmCalls
		// Concurrent calls slow a cold server further.
		workTime = time.Duration(float64(workTime) * (1 + coldness*(coldFactor-1)) * (1 + coldness*float64(s.inflight-1)))
	}
	return s.slowedCompletionTime(now, workTime), false
}

// slowedCompletionTime returns the time at which work that starts now completes, given that it runs
// noiseFactor times slower in the slow spans.
func (s *server) slowedCompletionTime(now, workTime time.Duration) time.Duration {
	for _, p := range s.slowSpans {
		if p.end <= now {
			continue
		}
		if p.start > now {
			if workTime <= p.start-now {
				return now + workTime
			}
			workTime -= p.start - now
			now = p.start
		}
		if workTime*noiseFactor <= p.end-now {
			return now + workTime*noiseFactor
		}
		workTime -= (p.end - now) / noiseFactor
		now = p.end
	}
	return now + workTime
}

func (s *server) start() {
	s.inflight++
	s.peak = max(s.peak, s.inflight)
}
