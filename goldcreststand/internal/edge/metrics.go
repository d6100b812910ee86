package edge

import (
	"expvar"
	"time"

	"goldcreststand.example/lib/stats"
)

// Metrics counts what traffic does.
type Metrics struct {
	// Calls holds the results and latencies of calls.
	Calls *stats.CallMetrics
	// Checks counts the status checks, Missed those without a reply in time.
	Checks, Missed expvar.Int
	// Dials counts new connections to backend servers, DialFailures those that failed.
	Dials, DialFailures expvar.Int
	// Resends counts the tries after the first of each call.
	Resends expvar.Int
}

// NewMetrics returns metrics that are not published yet.
func NewMetrics() *Metrics { return &Metrics{Calls: stats.New()} }

// Publish adds the metrics to a map.
func (m *Metrics) Publish(to *expvar.Map) {
	to.Set("calls", m.Calls)
	to.Set("checks", &m.Checks)
	to.Set("missed", &m.Missed)
	to.Set("dials", &m.Dials)
	to.Set("dialfailures", &m.DialFailures)
	to.Set("resends", &m.Resends)
}

// note counts a call that ended.
func (m *Metrics) note(c *call, result string, why cause, took time.Duration) {
	s := stats.Sample{Service: string(c.service), Result: result, Latency: took}
	if c.route != nil {
		s.Class = c.route.Kind.String()
	}
	if why != causeNone {
		s.Cause = why.String()
	}
	m.Calls.Observe(s)
	m.Resends.Add(int64(max(0, len(c.tries)-1)))
}
