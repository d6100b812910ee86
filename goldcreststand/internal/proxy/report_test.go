package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/route"
	"goldcreststand.example/goldcreststand/internal/proxy"
	"goldcreststand.example/lib/stats"
)

// sink hands batches to a test, and takes none while the test does not wait.
type sink chan []route.TryOutcome

// Offer reports whether the test took the batch.
func (s sink) Offer(batch []route.TryOutcome) bool {
	select {
	case s <- batch:
		return true
	default:
		return false
	}
}

// Guards against tries that control does not learn of.
func TestOutcomesAreReported(t *testing.T) {
	taken := make(sink, 2)
	shedding, b := newBackend(t, always(respShed)), newBackend(t, always(respLoad))
	s := instance(t, localTo(shedding, b), proxy.WithSink(taken))
	begin := time.Now()
	require.Equal(t, 200, request(s, http.MethodPost, "/item/1", nil).status)
	var got []route.TryOutcome
	for len(got) < 2 {
		got = append(got, <-taken...)
	}
	require.Equal(t, route.ResultShed, got[0].Result)
	require.WithinRange(t, got[1].Start, begin, time.Now())
	require.Positive(t, got[1].Latency)
	got[1].Start, got[1].Latency = time.Time{}, 0
	require.Equal(t, route.TryOutcome{
		Service: serviceName, Server: "s1", Version: "v1", Route: "item", Result: route.ResultOK, Inflight: 2, Slots: 4,
	}, got[1])
}

// Guards against traffic that waits for control, and against a drop that nobody sees.
func TestDroppedOutcomesAreCounted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	metrics := stats.New()
	s := instance(t, localTo(newBackend(t, always(respOK))), proxy.WithClock(clock), proxy.WithMetrics(metrics), proxy.WithSink(make(sink)))
	for range proxy.BatchSize {
		require.Equal(t, 200, request(s, http.MethodPost, "/item/1", nil).status)
	}
	require.EqualValues(t, proxy.BatchSize, metrics.Dropped())
}
