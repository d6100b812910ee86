package retry

import (
	"sync/atomic"
	"time"
)

// Step sizes of the estimators: the estimate is stable if the samples above it are one in stepsUp + 1. One step down is a
// stepDivisor-th of the estimate; p99 has smaller steps, since its steps up are five times as many.
const (
	p95StepsUp     = 19
	p95StepDivisor = 400
	p99StepsUp     = 99
	p99StepDivisor = 800
)

// QuantileEstimator estimates a high quantile of recent latencies with one counter, like the frugal streaming
// estimator of Ma, Muthukrishnan and Sandler (2013), but with steps relative to the estimate. It follows a
// change within some tens of samples upwards, and some hundreds downwards. It is safe for concurrent use.
type QuantileEstimator struct {
	min                  time.Duration
	stepsUp, stepDivisor int64
	estimate             atomic.Int64
}

// NewP95Estimator returns an estimator of the 95th percentile that starts at the given value and never falls below least.
func NewP95Estimator(start, least time.Duration) *QuantileEstimator {
	return newQuantileEstimator(start, least, p95StepsUp, p95StepDivisor)
}

// NewP99Estimator returns an estimator of the 99th percentile that starts at the given value and never falls below least.
func NewP99Estimator(start, least time.Duration) *QuantileEstimator {
	return newQuantileEstimator(start, least, p99StepsUp, p99StepDivisor)
}

func newQuantileEstimator(start, least time.Duration, stepsUp, stepDivisor int64) *QuantileEstimator {
	e := &QuantileEstimator{min: least, stepsUp: stepsUp, stepDivisor: stepDivisor}
	e.estimate.Store(int64(max(start, least)))
	return e
}

// Observe adds a sample. Under contention a sample may be lost.
func (e *QuantileEstimator) Observe(sample time.Duration) {
	n := e.estimate.Load()
	next := n - n/e.stepDivisor
	if int64(sample) > n {
		next = n + n*e.stepsUp/e.stepDivisor
	}
	e.estimate.CompareAndSwap(n, max(next, int64(e.min)))
}

// Value returns the estimate.
func (e *QuantileEstimator) Value() time.Duration { return time.Duration(e.estimate.Load()) }
