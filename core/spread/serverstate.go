package spread

import (
	"math"
	"sync/atomic"
	"time"

	"goldcreststand.example/core/notice"
)

const (
	// baseBackoff and maxBackoff bound the backoff of a server that does not reply to checks. It doubles with
	// each consecutive failure.
	baseBackoff = 250 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// failureDecayTime is the time in which the failure score falls to 37 %.
	failureDecayTime = 2 * time.Second
	// maxFailureScore bounds the failure score, so that a server gets calls again soon after its recovery.
	maxFailureScore = 8
	// slowFactor is the slowness, relative to NormalSlowness, from which a machine counts as slow, and
	// slowDuration how long it counts as slow after such a reply. Periods of slowness last some hundreds of
	// milliseconds.
	slowFactor   = 2
	slowDuration = 120 * time.Millisecond
	// utilizationSmoothing is the weight of the newest report in the moving average of the utilization.
	utilizationSmoothing = 0.1
)

// ServerState holds this instance's observations of a backend server. It is kept across snapshots and is safe
// for concurrent use. A lost update loses one observation.
type ServerState struct {
	start time.Time
	// missedChecks is the number of consecutive checks without a reply.
	missedChecks atomic.Int32
	// backoffUntil is the end of the backoff, since start.
	backoffUntil atomic.Int64
	// failureScore holds the bits of a float64: the number of recent failures, decayed to failureTime.
	failureScore atomic.Uint64
	failureTime  atomic.Int64
	// utilization holds the bits of a float64: the smoothed utilization of the server. It is valid if
	// utilizationKnown is set.
	utilization      atomic.Uint64
	utilizationKnown atomic.Bool
	// slowUntil is the time, since start, until which the server's machine counts as slow.
	slowUntil atomic.Int64
	// nextColdCall is the earliest time, since start, of the next call while the server is cold.
	nextColdCall atomic.Int64
	// sent is the number of calls that this instance has sent to the server, and sendTimes the times of the last ones,
	// since start.
	sent      atomic.Int64
	sendTimes [recentSends]atomic.Int64
	// saturatedUntil is the time, since start, until which the last report explains a silence by saturation. silentSince
	// is the time of the first check without a reply since then, or 0.
	saturatedUntil atomic.Int64
	silentSince    atomic.Int64
	lastReport     atomic.Pointer[LastReport]
	// availability holds what the server said about leaving and pauses, with times since start.
	availability notice.Availability
}

// NewServerState returns a state without observations.
func NewServerState(start time.Time) *ServerState { return &ServerState{start: start} }

func (s *ServerState) sinceStart(now time.Time) int64 { return int64(now.Sub(s.start)) }

// InBackoff reports whether the server is in backoff. It then gets calls only if no other server is available.
func (s *ServerState) InBackoff(now time.Time) bool { return s.sinceStart(now) < s.backoffUntil.Load() }

// RecordNotice records what the server said about its availability.
func (s *ServerState) RecordNotice(now time.Time, n notice.Notice) {
	s.availability.Record(now.Sub(s.start), n)
}

// Available reports whether the server may receive calls and checks. Unlike a backoff, which ends early if there is no
// other server, this is the server's own wish.
func (s *ServerState) Available(now time.Time) bool {
	return s.availability.Available(now.Sub(s.start))
}

// Leaving reports whether the server has said that it is leaving.
func (s *ServerState) Leaving() bool { return s.availability.Leaving() }

// RecordNoReply records a check or a dial without a reply and starts a backoff.
func (s *ServerState) RecordNoReply(now time.Time) { s.backOffAfterMiss(now, baseBackoff) }

// backOffAfterMiss starts a backoff that is base after the first missed check.
func (s *ServerState) backOffAfterMiss(now time.Time, base time.Duration) {
	n := min(s.missedChecks.Add(1), 8)
	s.backoffUntil.Store(s.sinceStart(now) + int64(min(base<<(n-1), maxBackoff)))
}

// RecentlySlow reports whether a recent reply reported a slow machine.
func (s *ServerState) RecentlySlow(now time.Time) bool { return s.sinceStart(now) < s.slowUntil.Load() }

// BackOff keeps the server in backoff for at least d.
func (s *ServerState) BackOff(now time.Time, d time.Duration) {
	s.backoffUntil.Store(max(s.backoffUntil.Load(), s.sinceStart(now)+int64(d)))
}

// BackOffIfUnresponsive sets the end of the backoff if the last check got no reply, so that only one call at a
// time checks whether the server has recovered.
func (s *ServerState) BackOffIfUnresponsive(until time.Time) {
	if s.missedChecks.Load() > 0 {
		s.backoffUntil.Store(s.sinceStart(until))
	}
}

// RecordReply records the load report in the reply to a check, and ends a backoff after missed checks. It reports whether
// this is the first reply after a silence of a server that was full.
func (s *ServerState) RecordReply(now time.Time, r LoadReport) (wasFull bool) {
	if r.Slowness >= slowFactor*NormalSlowness {
		s.slowUntil.Store(s.sinceStart(now) + int64(slowDuration))
	}
	if s.missedChecks.Load() != 0 {
		s.missedChecks.Store(0)
		s.backoffUntil.Store(0)
	}
	s.lastReport.Store(&LastReport{Load: r, At: now})
	utilization := r.Utilization()
	if s.utilizationKnown.Load() {
		old := math.Float64frombits(s.utilization.Load())
		utilization = old + utilizationSmoothing*(utilization-old)
	}
	s.utilization.Store(math.Float64bits(utilization))
	s.utilizationKnown.Store(true)
	return s.recordLoad(now, r)
}

// Utilization returns the recent utilization as defined by LoadReport.Utilization, and whether it is known.
func (s *ServerState) Utilization() (float64, bool) {
	return math.Float64frombits(s.utilization.Load()), s.utilizationKnown.Load()
}

// RecordFailure adds the weight to the failure score, for a call that was executed and failed or was rejected.
func (s *ServerState) RecordFailure(now time.Time, weight float64) {
	d := min(s.FailureScore(now)+weight, maxFailureScore)
	s.failureScore.Store(math.Float64bits(d))
	s.failureTime.Store(s.sinceStart(now))
}

// FailureScore returns the weighted number of recent failures; it decays exponentially with their age.
func (s *ServerState) FailureScore(now time.Time) float64 {
	d := math.Float64frombits(s.failureScore.Load())
	if d == 0 {
		return 0
	}
	return d * math.Exp(-float64(s.sinceStart(now)-s.failureTime.Load())/float64(failureDecayTime))
}

// Silent reports whether the last check got no reply.
func (s *ServerState) Silent() bool { return s.missedChecks.Load() > 0 }

// AllowsColdCall reports whether AllowColdCall would allow a call now.
func (s *ServerState) AllowsColdCall(now time.Time, interval time.Duration) bool {
	return interval > 0 && s.sinceStart(now) >= s.nextColdCall.Load()
}

// AllowColdCall reports whether a call may be sent to the cold server now, at most one per interval. It returns
// false if the interval is 0.
func (s *ServerState) AllowColdCall(now time.Time, interval time.Duration) bool {
	if interval <= 0 {
		return false
	}
	at, next := s.sinceStart(now), s.nextColdCall.Load()
	return at >= next && s.nextColdCall.CompareAndSwap(next, at+int64(interval))
}
