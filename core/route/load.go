package route

import (
	"math"
	"sync/atomic"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// DefaultWeight is the weight of a subject that has no row.
const DefaultWeight = table.DefaultWeight

// Constants of the latency estimate.
const (
	// meanSamples is the number of calls over which the mean latency is averaged.
	meanSamples = 16
	// peakDecayTime is the time in which a latency above the mean loses 63 % of its excess. Noisy
	// neighbours slow a server for tens of milliseconds, so the excess is kept for about that long.
	peakDecayTime = 100 * time.Millisecond
	// failurePenalty is the latency that a failed call counts for at least; it doubles with each
	// further failure in a row, maxDoublings times at most. A server that fails fast would attract
	// traffic otherwise.
	failurePenalty      = 250 * time.Millisecond
	maxPenaltyDoublings = 5
	// reportMaxAge is the time for which a load report counts. Reports are stale by then.
	reportMaxAge = 100 * time.Millisecond
)

// ServerLoad holds what this instance counts and measures at one backend server. Traffic goroutines share
// it; it outlives the snapshots that refer to it. Concurrent observations may overwrite each other;
// that loses one sample of the estimate. All times are readings of the boot-time clock.
type ServerLoad struct {
	inflight atomic.Int32
	failures atomic.Int32
	// meanLatency and peak are latencies in nanoseconds; peak held at stamp and decays to meanLatency.
	meanLatency atomic.Int64
	peakLatency atomic.Int64
	peakTime    atomic.Int64
	// lastProgress is the time of the last response, or of the first call in flight if that was later.
	lastProgress atomic.Int64
	// othersShare is the use by other instances in per mille of the slots, as reported at reported.
	othersShare atomic.Int32
	reportTime  atomic.Int64
}

// Inflight returns the number of calls in flight.
func (l *ServerLoad) Inflight() ident.Slots { return ident.Slots(l.inflight.Load()) }

// Acquire takes one slot when fewer than limit calls are in flight, and reports whether it did.
func (l *ServerLoad) Acquire(limit ident.Slots) bool {
	for {
		n := l.inflight.Load()
		if n >= int32(limit) {
			return false
		}
		if l.inflight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// recordStart notes that a call has got a slot.
func (l *ServerLoad) recordStart(now time.Duration) {
	if l.inflight.Load() == 1 {
		l.lastProgress.Store(int64(now))
	}
}

// Release gives one slot back.
func (l *ServerLoad) Release() { l.inflight.Add(-1) }

// Observe notes the end of a try. A failure counts as slow, by at least failurePenalty. A canceled try
// counts only when it took longer than expected, because its latency is a lower bound.
func (l *ServerLoad) Observe(now, latency time.Duration, r Result) {
	l.lastProgress.Store(int64(now))
	switch r {
	case ResultOK:
		l.failures.Store(0)
		l.recordLatency(now, latency)
	case ResultCanceled:
		if latency > l.Latency(now) {
			l.recordLatency(now, latency)
		}
	default:
		n := min(l.failures.Add(1)-1, maxPenaltyDoublings)
		l.recordLatency(now, max(latency, failurePenalty<<n))
	}
}

func (l *ServerLoad) recordLatency(now, latency time.Duration) {
	peak := max(l.Latency(now), latency)
	if mean := l.meanLatency.Load(); mean == 0 {
		l.meanLatency.Store(int64(latency))
	} else {
		l.meanLatency.Store(max(1, mean+(int64(latency)-mean)/meanSamples))
	}
	l.peakLatency.Store(int64(peak))
	l.peakTime.Store(int64(now))
}

// Latency estimates the latency of the next call: the mean, or the largest recent latency while that
// has not decayed (as in Finagle's "peak EWMA"). It is 0 while nothing is known.
func (l *ServerLoad) Latency(now time.Duration) time.Duration {
	mean := l.meanLatency.Load()
	excess := l.peakLatency.Load() - mean
	if excess <= 0 {
		return time.Duration(mean)
	}
	return time.Duration(mean) + decay(time.Duration(excess), now-time.Duration(l.peakTime.Load()))
}

// decay approximates excess * exp(-age/peakDecay) from above by the first terms of the series of the
// exponential function; the error does not matter for a score and the division is cheap.
func decay(excess, age time.Duration) time.Duration {
	x := float64(max(age, 0)) / float64(peakDecayTime)
	return time.Duration(float64(excess) / (1 + x + x*x/2 + x*x*x/6))
}

// ObserveReport notes the load that the server reported: calls in flight from all instances, and slots. The
// calls of this instance are known exactly and are subtracted.
func (l *ServerLoad) ObserveReport(now time.Duration, inflight, slots ident.Slots) {
	if slots <= 0 {
		return
	}
	others := min(max(inflight-l.Inflight(), 0), slots)
	l.othersShare.Store(int32(others) * int32(ident.FullShare) / int32(slots))
	l.reportTime.Store(int64(now))
}

// reportedLoadFactor is 1 plus the part of the server's slots that other instances use by the last report, at
// most 2. A report can therefore not attract traffic, and a wrong one does little harm.
func (l *ServerLoad) reportedLoadFactor(now time.Duration) float64 {
	others := l.othersShare.Load()
	if others == 0 || now-time.Duration(l.reportTime.Load()) > reportMaxAge {
		return 1
	}
	return 1 + float64(others)/float64(ident.FullShare)
}

// timeSinceResponse is the time since the server's last response while calls are in flight there, a lower bound
// of the latency of the oldest of them. It shows a slow server before its next response does.
func (l *ServerLoad) timeSinceResponse(now time.Duration) time.Duration {
	if l.inflight.Load() == 0 {
		return 0
	}
	return now - time.Duration(l.lastProgress.Load())
}

// cost scores the server for one more call: expected latency, times crowding, times 1 plus the calls in
// flight per weight. Lower is better. A server without a known latency has that of unknown.
func (s *Server) cost(now time.Duration, defaultLatency float64) float64 {
	latency := float64(max(s.Load.Latency(now), s.Load.timeSinceResponse(now)))
	if latency == 0 {
		latency = defaultLatency
	}
	inflight := float64(s.Load.Inflight()) * float64(DefaultWeight) / float64(s.Weight)
	return math.Max(latency, 1) * (1 + inflight) * s.Load.reportedLoadFactor(now)
}

// available reports whether the server may get one more call from this instance.
func (s *Server) available() bool { return s.Weight > 0 && s.Load.Inflight() < s.MaxInflight }
