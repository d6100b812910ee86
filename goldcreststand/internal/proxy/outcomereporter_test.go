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

// outcomeChan passes batches to a test and rejects them while the test is not receiving.
type outcomeChan chan []route.TryOutcome

// Offer reports whether the test received the batch.
func (c outcomeChan) Offer(batch []route.TryOutcome) bool {
	select {
	case c <- batch:
		return true
	default:
		return false
	}
}

// Guards against tries whose outcomes are not reported to control.
func TestOutcomesAreReported(t *testing.T) {
	outcomes := make(outcomeChan, 2)
	shedding, b := newBackend(t, always(respShed)), newBackend(t, always(respLoad))
	s := newInstance(t, localServiceFor(shedding, b), proxy.WithOutcomeSink(outcomes))
	begin := time.Now()
	require.Equal(t, 200, request(s, http.MethodPost, "/item/1", nil).status)
	var got []route.TryOutcome
	for len(got) < 2 {
		got = append(got, <-outcomes...)
	}
	require.Equal(t, route.ResultShed, got[0].Result)
	require.WithinRange(t, got[1].Start, begin, time.Now())
	require.Positive(t, got[1].Latency)
	got[1].Start, got[1].Latency = time.Time{}, 0
	require.Equal(t, route.TryOutcome{
		Service: serviceName, Server: "s1", Version: "v1", Route: "item", Result: route.ResultOK, Inflight: 2, Slots: 4,
	}, got[1])
}

// Guards against calls that block on control, and against dropped outcomes that are not counted.
func TestDroppedOutcomesAreCounted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	metrics := stats.New()
	s := newInstance(t, localServiceFor(newBackend(t, always(respOK))), proxy.WithClock(clock), proxy.WithMetrics(metrics), proxy.WithOutcomeSink(make(outcomeChan)))
	for range proxy.BatchSize {
		require.Equal(t, 200, request(s, http.MethodPost, "/item/1", nil).status)
	}
	require.EqualValues(t, proxy.BatchSize, metrics.Dropped())
}
