package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// benchWorkers is the number of concurrent callers.
const benchWorkers = 4

// BenchmarkCall measures direct and proxied calls to a server over loopback. The latency added by the proxy is
// the difference of their quantiles.
func BenchmarkCall(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "stock 7\n")
	}))
	defer s.Close()
	proxied := newInstance(b, localService(server("s0", address(s.Listener))))
	b.Run("direct", func(b *testing.B) { measure(b, s.URL) })
	b.Run("proxy", func(b *testing.B) { measure(b, proxied.URL) })
}

func measure(b *testing.B, url string) {
	transport := &http.Transport{MaxIdleConnsPerHost: benchWorkers}
	defer transport.CloseIdleConnections()
	var mu sync.Mutex
	var all []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range benchWorkers {
		wg.Go(func() {
			own := make([]time.Duration, 0, b.N/benchWorkers)
			for range b.N / benchWorkers {
				own = append(own, timeCall(b, transport, url))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(all)
	if n := len(all); n > 0 {
		b.ReportMetric(float64(all[n/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(all[n*99/100].Microseconds()), "p99-us")
	}
}

func timeCall(b *testing.B, transport *http.Transport, url string) time.Duration {
	req, err := http.NewRequest(http.MethodGet, url+"/item/1", http.NoBody)
	require.NoError(b, err)
	req.Host = serviceName
	start := time.Now()
	resp, err := transport.RoundTrip(req)
	require.NoError(b, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	d := time.Since(start)
	require.Equal(b, http.StatusOK, resp.StatusCode)
	return d
}
