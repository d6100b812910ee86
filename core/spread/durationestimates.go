package spread

import (
	"sync"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// durationSmoothing is the weight of the newest call in the estimate of a route's call duration.
	durationSmoothing = 0.05
	// maxRoutes bounds the number of routes with an estimate.
	maxRoutes = 4096
)

// DurationEstimates estimates how long the calls of each route take at an idle server at normal speed. It is
// safe for concurrent use.
type DurationEstimates struct {
	mu     sync.Mutex
	routes map[ident.RouteName]time.Duration
}

// NewDurationEstimates returns estimates without samples.
func NewDurationEstimates() *DurationEstimates {
	return &DurationEstimates{routes: make(map[ident.RouteName]time.Duration)}
}

// Observe records the duration of a call, divided by the server's slowdown.
func (e *DurationEstimates) Observe(r ident.RouteName, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.routes[r]
	switch {
	case ok:
		e.routes[r] = old + time.Duration(durationSmoothing*float64(took-old))
	case len(e.routes) < maxRoutes:
		e.routes[r] = took
	}
}

// Estimate returns the expected duration of a call of the route, or 0 if it is unknown.
func (e *DurationEstimates) Estimate(r ident.RouteName) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.routes[r]
}
