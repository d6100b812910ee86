package stats_test

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/stats"
)

// Guards against unbounded memory use when callers send many different tenant names.
func TestTenantHistogramsAreBounded(t *testing.T) {
	m := stats.New()
	for i := range stats.MaxTenants + 10 {
		m.Observe(stats.Sample{Tenant: strconv.Itoa(i), Class: "3", Service: "inventory", Result: "ok", Latency: time.Millisecond})
	}
	m.AddDropped(2)
	var got struct {
		Results  map[string]int64
		Dropped  int64
		Tenants  map[string]stats.Summary
		Services map[string]stats.Summary
	}
	require.NoError(t, json.Unmarshal([]byte(m.String()), &got))
	require.Len(t, got.Tenants, stats.MaxTenants+1)
	require.EqualValues(t, 10, got.Tenants[stats.Other].Count)
	require.EqualValues(t, stats.MaxTenants+10, got.Services["inventory"].Count)
	require.InDelta(t, 1000, got.Services["inventory"].P99, 10)
	require.EqualValues(t, stats.MaxTenants+10, got.Results["ok"])
	require.EqualValues(t, 2, got.Dropped)
}

func BenchmarkObserve(b *testing.B) {
	s := stats.New()
	x := stats.Sample{Tenant: "a", Class: "3", Service: "inventory", Result: "ok", Latency: time.Millisecond}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Observe(x)
		}
	})
}

// Guards against rejections that are not counted per service and cause.
func TestRejectionsByServiceAndCause(t *testing.T) {
	s := stats.New()
	for _, cause := range []string{"connection_refused", "", "connection_limit_reached", "connection_limit_reached"} {
		s.Observe(stats.Sample{Service: "inventory", Result: "x", Cause: cause})
	}
	require.Equal(t, []stats.Rejection{
		{Service: "inventory", Cause: "connection_limit_reached", Calls: 2},
		{Service: "inventory", Cause: "connection_refused", Calls: 1},
	}, s.Rejections())
}
