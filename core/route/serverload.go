package route

import (
	"math"
	"sync/atomic"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// DefaultWeight is the weight of a server, failure domain or version without a row in the routing table.
const DefaultWeight = table.DefaultWeight

// Constants of the latency estimate.
const (
	// meanSamples is the window of the moving average of latency, in calls.
	meanSamples = 16
	// peakDecayTime is the time constant with which a latency peak decays to the mean: 63 % of the excess is gone
	// after it. Noisy neighbours slow a server for tens of milliseconds.
	peakDecayTime = 100 * time.Millisecond
	// failurePenalty is the minimum latency recorded for a failed call. It doubles with each consecutive
	// failure, up to maxPenaltyDoublings times. Without it, a server that fails fast would attract traffic.
	failurePenalty      = 250 * time.Millisecond
	maxPenaltyDoublings = 5
	// reportMaxAge is the age at which a load report is stale and no longer used.
	reportMaxAge = 100 * time.Millisecond
)

// ServerLoad holds the calls in flight and the latency estimate of one backend server, as seen by this instance.
// All traffic goroutines share it, and it is kept across snapshots. Concurrent observations may overwrite
// each other, which loses one sample of the estimate. All times are readings of the boot-time clock.
type ServerLoad struct {
	inflight atomic.Int32
	// failures is the number of consecutive failed calls.
	failures atomic.Int32
	// meanLatency and peakLatency are in nanoseconds; the peak was seen at peakTime and decays to the mean.
	meanLatency atomic.Int64
	peakLatency atomic.Int64
	peakTime    atomic.Int64
	// lastProgress is the time of the last response, or of the first call in flight if that was later.
	lastProgress atomic.Int64
	// othersShare is the share of the server's slots used by other instances, in per mille, according to
	// the report received at reportTime.
	othersShare atomic.Int32
	reportTime  atomic.Int64
}

// Inflight returns the number of calls in flight.
func (l *ServerLoad) Inflight() ident.Slots { return ident.Slots(l.inflight.Load()) }

// Acquire takes one slot if fewer than limit calls are in flight, and reports whether it did.
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

// recordStart records that a call acquired a slot.
func (l *ServerLoad) recordStart(now time.Duration) {
	if l.inflight.Load() == 1 {
		l.lastProgress.Store(int64(now))
	}
}

// Release gives one slot back.
func (l *ServerLoad) Release() { l.inflight.Add(-1) }

// Observe records the end of a try. A failure counts with a latency of at least failurePenalty. The latency
// of a canceled try is a lower bound, so it counts only if it is above the estimate.
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

// Latency estimates the latency of the next call: the moving average plus the decayed excess of the recent
// peak, as in Finagle's "peak EWMA". It is 0 before the first sample.
func (l *ServerLoad) Latency(now time.Duration) time.Duration {
	mean := l.meanLatency.Load()
	excess := l.peakLatency.Load() - mean
	if excess <= 0 {
		return time.Duration(mean)
	}
	return time.Duration(mean) + decay(time.Duration(excess), now-time.Duration(l.peakTime.Load()))
}

// decay approximates excess * exp(-age/peakDecayTime) from above, with the first terms of the exponential
// series. This is cheap and precise enough for a score.
func decay(excess, age time.Duration) time.Duration {
	x := float64(max(age, 0)) / float64(peakDecayTime)
	return time.Duration(float64(excess) / (1 + x + x*x/2 + x*x*x/6))
}

// ObserveReport records the load that the server reported: the calls in flight from all instances, and its
// slots. The calls of this instance are known exactly and are subtracted.
func (l *ServerLoad) ObserveReport(now time.Duration, inflight, slots ident.Slots) {
	if slots <= 0 {
		return
	}
	others := min(max(inflight-l.Inflight(), 0), slots)
	l.othersShare.Store(int32(others) * int32(ident.FullShare) / int32(slots))
	l.reportTime.Store(int64(now))
}

// reportedLoadFactor returns 1 plus the share of the server's slots that other instances use according to the
// last report, at most 2. A report can only raise the cost, so a wrong one does little harm.
func (l *ServerLoad) reportedLoadFactor(now time.Duration) float64 {
	others := l.othersShare.Load()
	if others == 0 || now-time.Duration(l.reportTime.Load()) > reportMaxAge {
		return 1
	}
	return 1 + float64(others)/float64(ident.FullShare)
}

// timeSinceResponse returns the time since the server's last response if calls are in flight there, else 0. It
// is a lower bound of the latency of the oldest call, and reveals a slow server before its next response.
func (l *ServerLoad) timeSinceResponse(now time.Duration) time.Duration {
	if l.inflight.Load() == 0 {
		return 0
	}
	return now - time.Duration(l.lastProgress.Load())
}

// cost scores the server for one more call: expected latency times reported load factor times 1 plus the
// calls in flight per weight. Lower is better. defaultLatency is used if the server's latency is unknown.
func (s *Server) cost(now time.Duration, defaultLatency float64) float64 {
	latency := float64(max(s.Load.Latency(now), s.Load.timeSinceResponse(now)))
	if latency == 0 {
		latency = defaultLatency
	}
	inflight := float64(s.Load.Inflight()) * float64(DefaultWeight) / float64(s.Weight)
	return math.Max(latency, 1) * (1 + inflight) * s.Load.reportedLoadFactor(now)
}

// available reports whether the server may get one more call from this instance.
func (s *Server) available(now time.Duration) bool {
	return s.Weight > 0 && s.Load.Inflight() < s.MaxInflight && s.Availability.Available(now)
}
