package canary

import (
	"math"
	"time"
)

// Constants of the threshold for slow calls.
const (
	// slowQuantile is the quantile of the old version's latency on which the threshold is based.
	slowQuantile = 0.9
	// slowFactor and minSlowMargin set the threshold above the quantile: small differences between good
	// versions do not count.
	slowFactor    = 1.5
	minSlowMargin = time.Millisecond
	// minQuantileStep is the smallest step of the approximation, in the logarithm of the latency.
	minQuantileStep = 0.05
	// minQuantileCalls is the number of calls from which the approximation is used.
	minQuantileCalls = 50
)

// latencyQuantile estimates a quantile of latencies by stochastic approximation (H. Robbins, S. Monro, "A
// stochastic approximation method", 1951).
type latencyQuantile struct {
	logSeconds float64
	calls      int
}

func (q *latencyQuantile) add(d time.Duration) {
	v := math.Log(max(d.Seconds(), 1e-6))
	q.calls++
	if q.calls == 1 {
		q.logSeconds = v
		return
	}
	// Larger steps at the beginning correct a first latency that is far from the quantile.
	step := max(minQuantileStep, 1/float64(q.calls))
	if v > q.logSeconds {
		q.logSeconds += step * slowQuantile
	} else {
		q.logSeconds -= step * (1 - slowQuantile)
	}
}

// ready reports whether the threshold can be used.
func (q *latencyQuantile) ready() bool { return q.calls >= minQuantileCalls }

// isSlow reports whether a call is slower than the threshold.
func (q *latencyQuantile) isSlow(d time.Duration) bool {
	base := time.Duration(math.Exp(q.logSeconds) * float64(time.Second))
	return d > max(time.Duration(slowFactor*float64(base)), base+minSlowMargin)
}
