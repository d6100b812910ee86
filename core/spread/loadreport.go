package spread

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Factors of the expected duration of one more call at a server.
const (
	// occupancyFactor is the relative rise of the cost from an idle server to one with all slots taken.
	occupancyFactor = 0.25
	// saturationShare is the share of the slots in use from which servers slow down, and saturationFactor by how
	// much.
	saturationShare  = 0.8
	saturationFactor = 1.7
	// remoteFactor prefers servers in this instance's failure domain, because traffic within a domain is free.
	remoteFactor = 1.15
	// coldFactor is the relative duration of a call at a cold server.
	coldFactor = 2
	// failureFactor is the relative rise of the cost per unit of the failure score.
	failureFactor = 1.0
)

// NormalSlowness is the slowness of a server whose machine runs at its usual speed.
const NormalSlowness ident.Share = ident.FullShare

// LoadReport is the load of a server at one moment, as reported by the server.
type LoadReport struct {
	// Running and Waiting are the calls in execution and those in the server's queue.
	Running, Waiting ident.Slots
	Slots            ident.Slots
	// Slowness is the current duration of work on the server's machine, in per mille of the usual duration.
	Slowness ident.Share
	// ColdFor is the time until the server has warmed up; 0 if it is warm.
	ColdFor time.Duration
	// Draining reports that the server accepts no more calls.
	Draining bool
}

// Slowdown returns the expected duration of one more call, relative to an idle server at normal speed.
func (r LoadReport) Slowdown() float64 {
	slots := float64(max(1, r.Slots))
	slowdown := float64(r.Slowness) / float64(NormalSlowness) * (1 + occupancyFactor*float64(r.Running)/slots)
	if r.Running >= r.fullSpeedCalls() {
		slowdown *= saturationFactor
	}
	if r.Running >= r.Slots {
		slowdown *= 2 + float64(r.Waiting)
	}
	if r.ColdFor > 0 {
		slowdown *= coldFactor
	}
	return slowdown
}

// fullSpeedCalls returns the maximum number of calls that the server runs without slowing down.
func (r LoadReport) fullSpeedCalls() ident.Slots {
	return max(1, ident.Slots(saturationShare*float64(r.Slots)))
}

// Utilization returns the running and waiting calls relative to those that the server can run without slowing
// down. It can exceed 1.
func (r LoadReport) Utilization() float64 {
	return float64(r.Running+r.Waiting) / float64(r.fullSpeedCalls())
}

// Saturated reports whether one more call would slow down the server's other calls so much that the total
// throughput of all servers falls.
func (r LoadReport) Saturated() bool { return r.Running+r.Waiting >= r.fullSpeedCalls() }

// Free returns the number of further calls that the server takes before it is saturated.
func (r LoadReport) Free() ident.Slots { return max(0, r.fullSpeedCalls()-r.Running-r.Waiting) }

// Cost scores the server for one more call; lower is better.
func (s *Server) Cost(r LoadReport, now time.Time) float64 {
	c := r.Slowdown() * (1 + failureFactor*s.State.FailureScore(now))
	if !s.Local {
		c *= remoteFactor
	}
	return c
}
