package canary

import (
	"math"
	"time"
)

// Constants of the slow threshold.
const (
	// slowQuantile is the quantile of the old version's latency that the threshold is based on.
	slowQuantile = 0.9
	// slowFactor and slowGap separate the threshold from the quantile, so that small differences
	// between good versions do not count.
	slowFactor = 1.5
	slowGap    = time.Millisecond
	// quantileStep is the step of the approximation in the logarithm of the latency.
	quantileStep = 0.05
	// quantileCalls is the number of calls after which the approximation is used.
	quantileCalls = 50
)

// quantile follows a quantile of latencies by stochastic approximation (H. Robbins, S. Monro, "A
// stochastic approximation method", 1951).
type quantile struct {
	log   float64
	calls int
}

func (q *quantile) add(d time.Duration) {
	v := math.Log(max(d.Seconds(), 1e-6))
	q.calls++
	if q.calls == 1 {
		q.log = v
		return
	}
	// Larger steps at the beginning reach the quantile from a bad first guess.
	step := max(quantileStep, 1/float64(q.calls))
	if v > q.log {
		q.log += step * slowQuantile
	} else {
		q.log -= step * (1 - slowQuantile)
	}
}

// known reports whether there is a threshold yet.
func (q *quantile) known() bool { return q.calls >= quantileCalls }

// slow reports whether a call is slower than the threshold.
func (q *quantile) slow(d time.Duration) bool {
	base := time.Duration(math.Exp(q.log) * float64(time.Second))
	return d > max(time.Duration(slowFactor*float64(base)), base+slowGap)
}
