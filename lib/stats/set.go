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

// Sizes of a Set.
const (
	// MaxTenants bounds the tenants that have a histogram of their own; callers choose the names.
	MaxTenants = 64
	// maxClasses is the number of priority classes (RFC 9218).
	maxClasses = 8
	// maxServices bounds the services that have a histogram of their own.
	maxServices = 256
)

// Sample describes one call that ended.
type Sample struct {
	Tenant  string
	Class   string
	Service string
	Result  string
	// Cause says why the call was rejected, and is empty for other results.
	Cause   string
	Latency time.Duration
}

// Rejection counts the rejected calls of a service with one cause.
type Rejection struct {
	Service string `json:"service"`
	Cause   string `json:"cause"`
	Calls   int64  `json:"calls"`
}

// Set holds the metrics of calls. It is safe for concurrent use.
type Set struct {
	tenants  *family
	classes  *family
	services *family
	results  *expvar.Map

	mu       sync.Mutex
	rejected map[Rejection]int64
	dropped  *expvar.Int
}

var _ expvar.Var = (*Set)(nil)

// New returns an empty set. It is not published yet.
func New() *Set {
	return &Set{
		tenants:  newFamily(MaxTenants),
		classes:  newFamily(maxClasses),
		services: newFamily(maxServices),
		results:  new(expvar.Map).Init(),
		rejected: make(map[Rejection]int64),
		dropped:  new(expvar.Int),
	}
}

// Observe counts a call that ended.
func (s *Set) Observe(x Sample) {
	s.results.Add(x.Result, 1)
	if x.Cause != "" {
		s.reject(Rejection{Service: x.Service, Cause: x.Cause})
	}
	s.tenants.observe(x.Tenant, x.Latency)
	s.classes.observe(x.Class, x.Latency)
	s.services.observe(x.Service, x.Latency)
}

// Rejections returns the rejected calls by service and cause.
func (s *Set) Rejections() []Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Rejection, 0, len(s.rejected))
	for k, n := range s.rejected {
		k.Calls = n
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// reject counts a rejected call. Only services of the snapshot get here, so the map stays small.
func (s *Set) reject(k Rejection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[k]++
}

// Drop counts outcomes that control had no room for.
func (s *Set) Drop(n int) { s.dropped.Add(int64(n)) }

// Dropped returns the number of outcomes that control had no room for.
func (s *Set) Dropped() int64 { return s.dropped.Value() }

// String returns the metrics as JSON: counts, and quantiles in microseconds.
func (s *Set) String() string {
	results := make(map[string]int64)
	s.results.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			results[kv.Key] = n.Value()
		}
	})
	b, err := json.Marshal(map[string]any{
		"results":  results,
		"rejected": s.Rejections(),
		"dropped":  s.dropped.Value(),
		"tenants":  s.tenants.summaries(),
		"classes":  s.classes.summaries(),
		"services": s.services.summaries(),
	})
	if err != nil {
		return "{}"
	}
	return string(b)
}
