// Package stats counts calls and keeps histograms of their latency, for export by expvar.
package stats

import (
	"cmp"
	"encoding/json"
	"expvar"
	"slices"
	"sync"
	"time"
)

// Limits of CallMetrics.
const (
	// MaxTenants limits the tenants with their own histogram, because callers choose the tenant names.
	MaxTenants = 64
	// maxClasses is the number of priority classes (RFC 9218).
	maxClasses = 8
	// maxServices limits the services with their own histogram.
	maxServices = 256
)

// Sample describes one completed call.
type Sample struct {
	Tenant  string
	Class   string
	Service string
	Result  string
	// Cause is the reason for a rejection. It is empty for other results.
	Cause   string
	Latency time.Duration
}

// Rejection is the number of calls of a service that were rejected for one cause.
type Rejection struct {
	Service string `json:"service"`
	Cause   string `json:"cause"`
	Calls   int64  `json:"calls"`
}

// CallMetrics holds call counters and latency histograms. It is safe for concurrent use.
type CallMetrics struct {
	tenants  *histogramVec
	classes  *histogramVec
	services *histogramVec
	results  *expvar.Map

	mu       sync.Mutex
	rejected map[Rejection]int64
	dropped  *expvar.Int
}

var _ expvar.Var = (*CallMetrics)(nil)

// New returns empty metrics. The caller publishes them with expvar.
func New() *CallMetrics {
	return &CallMetrics{
		tenants:  newHistogramVec(MaxTenants),
		classes:  newHistogramVec(maxClasses),
		services: newHistogramVec(maxServices),
		results:  new(expvar.Map).Init(),
		rejected: make(map[Rejection]int64),
		dropped:  new(expvar.Int),
	}
}

// Observe records a completed call.
func (m *CallMetrics) Observe(x Sample) {
	m.results.Add(x.Result, 1)
	if x.Cause != "" {
		m.countRejection(Rejection{Service: x.Service, Cause: x.Cause})
	}
	m.tenants.observe(x.Tenant, x.Latency)
	m.classes.observe(x.Class, x.Latency)
	m.services.observe(x.Service, x.Latency)
}

// Rejections returns the number of rejected calls by service and cause, in that order.
func (m *CallMetrics) Rejections() []Rejection {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Rejection, 0, len(m.rejected))
	for k, n := range m.rejected {
		k.Calls = n
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// countRejection counts a rejected call. The map stays small because only services of the snapshot are counted.
func (m *CallMetrics) countRejection(k Rejection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejected[k]++
}

// AddDropped adds n call outcomes that were dropped because the queue of the control loop was full.
func (m *CallMetrics) AddDropped(n int) { m.dropped.Add(int64(n)) }

// Dropped returns the number of call outcomes that were dropped because the queue of the control loop was full.
func (m *CallMetrics) Dropped() int64 { return m.dropped.Value() }

// String returns the metrics as JSON, with latency quantiles in microseconds.
func (m *CallMetrics) String() string {
	results := make(map[string]int64)
	m.results.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			results[kv.Key] = n.Value()
		}
	})
	b, err := json.Marshal(map[string]any{
		"results":  results,
		"rejected": m.Rejections(),
		"dropped":  m.dropped.Value(),
		"tenants":  m.tenants.summaries(),
		"classes":  m.classes.summaries(),
		"services": m.services.summaries(),
	})
	if err != nil {
		return "{}"
	}
	return string(b)
}
