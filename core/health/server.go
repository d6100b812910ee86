package health

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/roster"
)

// server is the state of one backend server as seen by one instance.
type server struct {
	spec  roster.Server
	state State
	// since is the time of the last state change. Outcomes of tries that began earlier are ignored.
	since time.Time
	// drainingInList is set when the platform's list announced the draining.
	drainingInList bool

	// Warm-up.
	warmupLimit     ident.Slots
	warmupSuccesses int
	calls           int
	// firstCall is the time of the first outcome since the warm-up started.
	firstCall time.Time
	rank      int
	owner     ident.InstanceID
	hasSlots  bool
	// ownerSince is the time since which this instance is the owner of the server.
	ownerSince time.Time
	// confirmedWarm is set when the owner has confirmed that the server is warm; this instance may send
	// from joinAt on.
	confirmedWarm bool
	joinAt        time.Time
	queriedAt     time.Time

	// Failures and ejection.
	consecutiveFailures int
	probeFailures       int
	failureRate         float64
	samples             int
	ejections           int
	// until is the end of the ejection, or of a draining that the server announced.
	until time.Time

	// Latency in seconds: meanLatency is the recent moving average, shortMeanLatency that of the last
	// few calls and longMeanLatency the long-term one.
	meanLatency      float64
	shortMeanLatency float64
	longMeanLatency  float64
	consecutiveSlow  int

	lastCall    time.Time
	lastSuccess time.Time
	lastProbe   time.Time

	reportedSlots ident.Slots
	reportedUntil time.Time

	// availability holds what this incarnation of the server has said. Traffic goroutines write it.
	availability *notice.Availability
}

// restartWarmup puts the server at the start of its warm-up.
func (s *server) restartWarmup(now time.Time) {
	s.setState(StateWarming, now)
	s.warmupLimit, s.warmupSuccesses, s.calls = 1, 0, 0
	s.confirmedWarm, s.firstCall = false, time.Time{}
	s.queriedAt = time.Time{}
	s.consecutiveFailures, s.probeFailures, s.failureRate, s.samples = 0, 0, 0, 0
	s.meanLatency, s.shortMeanLatency, s.consecutiveSlow = 0, 0, 0
}

func (s *server) setState(st State, now time.Time) {
	s.state, s.since = st, now
}

func (s *server) drain(now time.Time) {
	if s.state != StateDraining {
		s.setState(StateDraining, now)
	}
	s.until = now.Add(drainTime)
}

// maySendInWarmup reports whether this instance may send to the server during warm-up.
func (s *server) maySendInWarmup(delay time.Duration, now time.Time) bool {
	if s.confirmedWarm {
		return !now.Before(s.joinAt)
	}
	return s.hasSlots && s.rank == 0 && now.Sub(s.ownerSince) >= delay
}

// setRank sets the rank of this instance among those with slots at the server. An instance that has
// just got slots at an active server restarts its warm-up, because what it knew of the server may be
// out of date.
func (s *server) setRank(rank int, owner ident.InstanceID, hasSlots bool, now time.Time) {
	if hasSlots && !s.hasSlots && s.state == StateActive {
		s.restartWarmup(now)
	}
	if hasSlots && rank == 0 && (!s.hasSlots || s.rank != 0) {
		s.ownerSince = now
	}
	s.rank, s.owner, s.hasSlots = rank, owner, hasSlots
}

// countWarmupSuccess counts a successful call in warm-up and doubles the limit after enough of them.
func (s *server) countWarmupSuccess(now time.Time) {
	s.warmupSuccesses++
	if s.warmupSuccesses < warmupStepCalls*int(s.warmupLimit) {
		return
	}
	s.warmupSuccesses = 0
	if 2*s.warmupLimit > s.spec.Slots {
		s.setState(StateActive, now)
		s.samples, s.failureRate = 0, 0
		return
	}
	s.warmupLimit *= 2
}

// reduceWarmupLimit halves the warm-up limit after a slow or shed call.
func (s *server) reduceWarmupLimit() {
	s.warmupSuccesses = 0
	s.warmupLimit = max(1, s.warmupLimit/2)
}

// recordLatency adds a call's latency to the averages.
func (s *server) recordLatency(latency time.Duration) {
	v := latency.Seconds()
	if s.meanLatency == 0 {
		s.meanLatency, s.shortMeanLatency = v, v
	}
	s.shortMeanLatency += shortSmoothing * (v - s.shortMeanLatency)
	s.meanLatency += smoothing * (v - s.meanLatency)
	if s.state != StateActive {
		return
	}
	if s.longMeanLatency == 0 {
		s.longMeanLatency = v
	}
	s.longMeanLatency += longSmoothing * (v - s.longMeanLatency)
}

// hasFewCalls reports whether the server has had too few calls for their latency to be representative.
func (s *server) hasFewCalls(now time.Time) bool {
	return s.calls < fewCallsCount && (s.calls == 0 || now.Sub(s.firstCall) < fewCallsTime)
}

// farAbove reports whether v is far above ref, both in seconds. It is false without a reference.
func farAbove(v, ref, factor float64) bool {
	return ref > 0 && v > factor*ref && v-ref > minLatencyGap.Seconds()
}
