package proxy_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/route"
)

// Guards against the rejection of a caller with outdated addresses although another instance serves the
// service, and against forwarding loops between two instances.
func TestExtraHop(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	remote := func(addresses ...netip.AddrPort) *route.Service {
		return &route.Service{Name: serviceName, InstanceAddresses: addresses}
	}
	b := newBackend(t, always(respOK))
	shedding := newBackend(t, always(respShed))
	serving := newInstance(t, localServiceFor(b))
	rejecting := newInstance(t, localServiceFor(shedding))
	other := newInstance(t, remote(address(closed)))
	tests := []struct {
		name    string
		svc     *route.Service
		headers []string
		status  int
		proxy   string
	}{
		{name: "second accepts", svc: remote(address(closed), address(serving.Listener)), status: 200},
		{name: "none accepts", svc: remote(address(closed), address(closed)), status: 503, proxy: "goldcreststand; error=connection_refused; " + rejected},
		{name: "rejection passes", svc: remote(address(rejecting.Listener)), status: 503, proxy: "goldcreststand; error=destination_unavailable; " + rejected},
		{name: "second hop", svc: remote(address(serving.Listener)), headers: []string{"Forwarded-Hop", "1"}, status: 503, proxy: "goldcreststand; error=proxy_loop_detected; " + rejected},
		{name: "stale instance", svc: remote(address(other.Listener)), status: 503, proxy: "goldcreststand; error=proxy_loop_detected; " + rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := request(newInstance(t, tt.svc), http.MethodPost, "/item/1", nil, tt.headers...)
			require.Equal(t, tt.status, got.status)
			require.Equal(t, tt.proxy, got.proxy)
		})
	}
	require.Equal(t, 1, b.count("/item/1"))
}
