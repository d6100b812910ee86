package retry

import (
	"sync/atomic"
	"time"
)

// Step sizes of a P95Estimator: the estimate is stable if 5 % of the samples are above it.
const (
	stepsUp   = 19
	stepsDown = 1
	// stepDivisor sets the step size: one step down is 1/400 of the estimate.
	stepDivisor = 400
)

// P95Estimator estimates the 95th percentile of recent latencies with one counter, like the frugal streaming
// estimator of Ma, Muthukrishnan and Sandler (2013), but with steps relative to the estimate. It follows a
// change within some tens of samples. It is safe for concurrent use.
type P95Estimator struct {
	min      time.Duration
	estimate atomic.Int64
}

// NewP95Estimator returns an estimator that starts at the given value and never falls below least.
func NewP95Estimator(start, least time.Duration) *P95Estimator {
	d := &P95Estimator{min: least}
	d.estimate.Store(int64(max(start, least)))
	return d
}

// Observe adds a sample. Under contention a sample may be lost.
func (e *P95Estimator) Observe(sample time.Duration) {
	n := e.estimate.Load()
	next := n - n*stepsDown/stepDivisor
	if int64(sample) > n {
		next = n + n*stepsUp/stepDivisor
	}
	e.estimate.CompareAndSwap(n, max(next, int64(e.min)))
}

// Value returns the estimate.
func (e *P95Estimator) Value() time.Duration { return time.Duration(e.estimate.Load()) }
