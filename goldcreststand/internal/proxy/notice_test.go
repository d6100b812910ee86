package proxy_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/notice"
)

const (
	respLeaving = "HTTP/1.1 200 OK\r\nLeaving: ?1\r\nContent-Length: 9\r\n\r\n%9s"
	respPause   = "HTTP/1.1 503 Busy\r\nExecuted: ?0\r\nRetry-After: 7.5\r\nContent-Length: 0\r\n\r\n"
)

// Guards against calls to a server that has said that it is leaving while another one takes calls.
func TestLeavingServerGetsNoCalls(t *testing.T) {
	leaving, other := newBackend(t, always(respLeaving)), newBackend(t, always(respOK))
	svc := localServiceFor(leaving, other)
	svc.Servers[0].Availability, svc.Servers[1].Availability = new(notice.Availability), new(notice.Availability)
	inst := newInstance(t, svc)
	for range 100 {
		r := request(inst, http.MethodPost, "/x", strings.NewReader("b"))
		require.Equal(t, http.StatusOK, r.status)
		require.Empty(t, r.header.Get("Leaving"))
	}
	require.LessOrEqual(t, leaving.count("/x"), 1)
	require.GreaterOrEqual(t, other.count("/x"), 99)
}

// Guards against calls that wait, or that come back too early, while every server has asked for a pause.
func TestCallIsRejectedAtOnceWhileAllServersPause(t *testing.T) {
	b := newBackend(t, always(respPause))
	svc := localServiceFor(b)
	svc.Servers[0].Availability = new(notice.Availability)
	inst := newInstance(t, svc)
	first := request(inst, http.MethodPost, "/x", strings.NewReader("b"))
	require.Equal(t, http.StatusServiceUnavailable, first.status)
	start := time.Now()
	second := request(inst, http.MethodPost, "/x", strings.NewReader("b"))
	require.Equal(t, http.StatusServiceUnavailable, second.status)
	require.Equal(t, "8", second.header.Get("Retry-After"))
	require.Less(t, time.Since(start), time.Second)
	require.Equal(t, 1, b.count("/x"))
}
