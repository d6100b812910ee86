package edge

import (
	"expvar"
	"time"

	"goldcreststand.example/goldcreststand/internal/http1"
	"goldcreststand.example/lib/stats"
)

// Metrics holds the counters of calls and of connections to backend servers.
type Metrics struct {
	// Calls holds the results and latencies of calls.
	Calls *stats.CallMetrics
	// Checks counts the status checks, MissedChecks those without a reply in time.
	Checks, MissedChecks expvar.Int
	// Dials counts new connections to backend servers, DialFailures those that failed.
	Dials, DialFailures expvar.Int
	// Retries counts the tries after the first of each call.
	Retries expvar.Int
	// Conns holds the counters of callers' connections.
	Conns http1.Metrics
	// Notices counts the servers that became unavailable because they are leaving or asked for a pause.
	Notices expvar.Int
}

// NewMetrics returns metrics that are not published yet.
func NewMetrics() *Metrics { return &Metrics{Calls: stats.New()} }

// Publish adds the metrics to a map.
func (m *Metrics) Publish(to *expvar.Map) {
	to.Set("calls", m.Calls)
	to.Set("checks", &m.Checks)
	to.Set("missed", &m.MissedChecks)
	to.Set("dials", &m.Dials)
	to.Set("dialfailures", &m.DialFailures)
	to.Set("resends", &m.Retries)
	to.Set("notices", &m.Notices)
	m.Conns.Publish(to)
}

// recordCall counts a completed call.
func (m *Metrics) recordCall(c *call, result string, reason cause, took time.Duration) {
	s := stats.Sample{Service: string(c.service), Result: result, Latency: took}
	if c.route != nil {
		s.Class = c.route.Kind.String()
	}
	if reason != causeNone {
		s.Cause = reason.String()
	}
	m.Calls.Observe(s)
	m.Retries.Add(int64(max(0, len(c.tries)-1)))
}
