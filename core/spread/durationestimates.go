package spread

import (
	"sync"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/retry"
)

const (
	// durationSmoothing is the weight of the newest call in the estimate of a route's call duration.
	durationSmoothing = 0.05
	// maxRoutes bounds the number of routes with an estimate.
	maxRoutes = 4096
	// recentSample is the age up to which a sample is recent. Small instances get a call of a rare route each second.
	recentSample = 30 * time.Second
	// highSamples is the number of samples from which the high quantile is known, and minHigh its least value, so that
	// delays of this process do not count as silence of a very fast server.
	highSamples = 64
	minHigh     = 5 * time.Millisecond
)

// DurationEstimates estimates how long the calls of each route take at an idle server at normal speed. It is
// safe for concurrent use.
type DurationEstimates struct {
	mu     sync.Mutex
	routes map[ident.RouteName]*routeEstimate
}

// routeEstimate is the estimate for one route, and the time of its newest sample.
type routeEstimate struct {
	mean time.Duration
	at   time.Time
	// samples counts the latencies up to highSamples, of which longest is the longest. high is nil until then.
	samples int
	longest time.Duration
	high    *retry.QuantileEstimator
}

// observeLatency adds a latency to the estimate of the high quantile. It starts at the longest of the first samples.
func (x *routeEstimate) observeLatency(d time.Duration) {
	if x.high != nil {
		x.high.Observe(d)
		return
	}
	x.samples++
	x.longest = max(x.longest, d)
	if x.samples == highSamples {
		x.high = retry.NewP99Estimator(x.longest, minHigh)
	}
}

// NewDurationEstimates returns estimates without samples.
func NewDurationEstimates() *DurationEstimates {
	return &DurationEstimates{routes: make(map[ident.RouteName]*routeEstimate)}
}

// Observe records how long a call would have taken at full speed, and its latency.
func (e *DurationEstimates) Observe(r ident.RouteName, fullSpeed, latency time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.routes[r]
	switch {
	case ok:
		x.mean += time.Duration(durationSmoothing * float64(fullSpeed-x.mean))
	case len(e.routes) < maxRoutes:
		x = &routeEstimate{mean: fullSpeed}
		e.routes[r] = x
	default:
		return
	}
	x.at = now
	x.observeLatency(latency)
}

// ObserveSilence records the time for which a call had no response when it was given up. Without these, the high quantile
// would ignore the calls that exceed it.
func (e *DurationEstimates) ObserveSilence(r ident.RouteName, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, ok := e.routes[r]; ok && x.high != nil && d >= x.high.Value() {
		x.high.Observe(d)
	}
}

// High returns the latency that 99 in 100 calls of the route do not exceed, or 0 if it is unknown.
func (e *DurationEstimates) High(r ident.RouteName) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, ok := e.routes[r]; ok && x.high != nil {
		return x.high.Value()
	}
	return 0
}

// Estimate returns the expected duration of a call of the route, or 0 if it is unknown.
func (e *DurationEstimates) Estimate(r ident.RouteName) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, ok := e.routes[r]; ok {
		return x.mean
	}
	return 0
}

// Recent returns the estimate if it has a recent sample, and 0 otherwise. An estimate that refuses calls gets no samples
// from them, so that it must not hold for ever.
func (e *DurationEstimates) Recent(r ident.RouteName, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, ok := e.routes[r]; ok && now.Sub(x.at) <= recentSample {
		return x.mean
	}
	return 0
}
