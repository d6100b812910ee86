package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/proxy"
)

// Guards against a server that works on a canceled call and a new one with a single slot. In the demo a server
// had one call more than its slots after a hedge was canceled.
func TestSlotOfCanceledTryIsReleasedLate(t *testing.T) {
	received := make(chan struct{}, 1)
	b := newBackend(t, func(string) string {
		received <- struct{}{}
		return respSilent
	})
	svc := localServiceFor(b)
	clock := clockwork.NewFakeClock()
	s := newInstance(t, svc, proxy.WithClock(clock))
	done := make(chan result, 1)
	go func() { done <- request(s, http.MethodPost, "/item/1", nil, "Request-Timeout", "1000") }()
	<-received
	clock.Advance(time.Second)
	got := <-done
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.EqualValues(t, 1, svc.Servers[0].Load.Inflight(), "the server may not have detected the closed connection yet")
	clock.Advance(10 * time.Millisecond)
	require.Eventually(t, func() bool { return svc.Servers[0].Load.Inflight() == 0 }, callerTimeout, time.Millisecond)
}
