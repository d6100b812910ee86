package health

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
)

// server is what one instance knows of one backend server.
type server struct {
	spec  roster.Server
	state State
	// since is the time of the last change of state. Tries that began earlier say nothing about it.
	since time.Time
	// listLeaving says that the platform's list announced the draining.
	listLeaving bool

	// Warm-up.
	limit ident.Slots
	good  int
	calls int
	// firstCall is the time of the first outcome in this life.
	firstCall time.Time
	rank      int
	first     ident.InstanceID
	ranked    bool
	// firstSince is the time since which this instance is the first in the placement order.
	firstSince time.Time
	joined     bool
	joinAt     time.Time
	asked      time.Time

	// Failures and ejection.
	fails      int
	probeFails int
	failRate   float64
	judged     int
	ejections  int
	until      time.Time

	// Latency in seconds: mean is the recent moving average, quick that of the last few calls and base the
	// long-term one.
	mean    float64
	quick   float64
	base    float64
	slowRun int

	lastCall  time.Time
	lastGood  time.Time
	lastProbe time.Time

	reported      ident.Slots
	reportedUntil time.Time
}

// cold puts the server at the start of its warm-up.
func (s *server) cold(now time.Time) {
	s.enter(StateWarming, now)
	s.limit, s.good, s.calls = 1, 0, 0
	s.joined, s.firstCall = false, time.Time{}
	s.asked = time.Time{}
	s.fails, s.probeFails, s.failRate, s.judged = 0, 0, 0, 0
	s.mean, s.quick, s.slowRun = 0, 0, 0
}

func (s *server) enter(st State, now time.Time) {
	s.state, s.since = st, now
}

func (s *server) drain(now time.Time) {
	if s.state != StateDraining {
		s.enter(StateDraining, now)
	}
	s.until = now.Add(drainTime)
}

// sender reports whether this instance may send to the server in warm-up.
func (s *server) sender(take time.Duration, now time.Time) bool {
	if s.joined {
		return !now.Before(s.joinAt)
	}
	return s.ranked && s.rank == 0 && now.Sub(s.firstSince) >= take
}

// setRank notes the place of this instance among those with slots at the server. One that has got slots
// anew does not trust what it knew of the server before.
func (s *server) setRank(rank int, first ident.InstanceID, ranked bool, now time.Time) {
	if ranked && !s.ranked && s.state == StateActive {
		s.cold(now)
	}
	if ranked && rank == 0 && (!s.ranked || s.rank != 0) {
		s.firstSince = now
	}
	s.rank, s.first, s.ranked = rank, first, ranked
}

// succeed counts a good call in warm-up and doubles the limit after enough of them.
func (s *server) succeed(now time.Time) {
	s.good++
	if s.good < stepCalls*int(s.limit) {
		return
	}
	s.good = 0
	if 2*s.limit > s.spec.Slots {
		s.enter(StateActive, now)
		s.judged, s.failRate = 0, 0
		return
	}
	s.limit *= 2
}

// slacken lowers the limit in warm-up after a slow call.
func (s *server) slacken() {
	s.good = 0
	s.limit = max(1, s.limit/2)
}

// measure adds a call's latency to the averages.
func (s *server) measure(latency time.Duration) {
	v := latency.Seconds()
	if s.mean == 0 {
		s.mean, s.quick = v, v
	}
	s.quick += quickSmoothing * (v - s.quick)
	s.mean += smoothing * (v - s.mean)
	if s.state != StateActive {
		return
	}
	if s.base == 0 {
		s.base = v
	}
	s.base += baseSmoothing * (v - s.base)
}

// fresh reports whether the server has had so few calls that their latency says little.
func (s *server) fresh(now time.Time) bool {
	return s.calls < freshCalls && (s.calls == 0 || now.Sub(s.firstCall) < freshTime)
}

// above reports whether v is far above ref, both in seconds. No reference proves nothing.
func above(v, ref, factor float64) bool {
	return ref > 0 && v > factor*ref && v-ref > minGap.Seconds()
}
