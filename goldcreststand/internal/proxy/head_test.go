package proxy_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/route"
)

// serverFor starts a backend server with the HTTP handler.
func serverFor(t *testing.T, h http.HandlerFunc) *route.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return server("s0", address(s.Listener))
}

// Guards against forwarded hop-by-hop headers and against a timeout that grows when it is forwarded.
func TestRequestHeaders(t *testing.T) {
	seen := make(chan *http.Request, 1)
	s := newInstance(t, localService(serverFor(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r })))
	got := request(s, http.MethodPost, "/item/1?a=1;b=2", nil,
		"Connection", "X-Hop", "X-Hop", "1", "Upgrade", "websocket", "Request-Timeout", "5000", "Tenant", "acme",
		"Forwarded-Hop", "1", "X-Forwarded-For", "192.0.2.1")
	require.Equal(t, 200, got.status)
	r := <-seen
	require.Equal(t, serviceName, r.Host)
	require.Equal(t, "/item/1?a=1;b=2", r.RequestURI)
	require.Equal(t, "acme", r.Header.Get("Tenant"))
	require.Equal(t, "192.0.2.1, 127.0.0.1", r.Header.Get("X-Forwarded-For"))
	require.Equal(t, "1.1 goldcreststand", r.Header.Get("Via"))
	for _, k := range []string{"X-Hop", "Upgrade", "Connection", "Forwarded-Hop"} {
		require.Empty(t, r.Header.Get(k), k)
	}
	left, err := strconv.Atoi(r.Header.Get("Request-Timeout"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 5000)
	require.Greater(t, left, 1000)
}

// Guards against lost trailers and against a response that is buffered until it is complete.
func TestResponseIsStreamedWithTrailers(t *testing.T) {
	next := make(chan struct{})
	s := newInstance(t, localService(serverFor(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "Sum")
		_, _ = io.WriteString(w, "first\n")
		w.(http.Flusher).Flush()
		<-next
		_, _ = io.WriteString(w, "second\n")
		w.Header().Set("Sum", "2")
	})))
	req, err := http.NewRequestWithContext(contextWithTimeout(t), http.MethodGet, s.URL+"/a", http.NoBody)
	require.NoError(t, err)
	req.Host = serviceName
	resp, err := s.Client().Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "first\n", line)
	close(next)
	rest, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "second\n", string(rest))
	require.Equal(t, "2", resp.Trailer.Get("Sum"))
}

// Guards against a request body of unknown length that is buffered until it is complete.
func TestRequestIsStreamed(t *testing.T) {
	reached := make(chan struct{})
	s := newInstance(t, localService(serverFor(t, func(w http.ResponseWriter, r *http.Request) {
		buf := make([]byte, 5)
		_, _ = io.ReadFull(r.Body, buf)
		close(reached)
		rest, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append(buf, rest...))
	})))
	pr, pw := io.Pipe()
	go func() {
		_, _ = io.WriteString(pw, "first")
		<-reached
		_, _ = io.WriteString(pw, "second")
		_ = pw.Close()
	}()
	require.Equal(t, "firstsecond", request(s, http.MethodPost, "/a", pr).body)
}

// Guards against a call that exceeds its deadline because its caller does not send the body.
func TestSlowCallerMeetsDeadline(t *testing.T) {
	s := newInstance(t, localService(serverFor(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })))
	for _, length := range []int64{-1, 10} {
		pr, pw := io.Pipe()
		go func() { _, _ = io.WriteString(pw, "first") }()
		req, err := http.NewRequestWithContext(contextWithTimeout(t), http.MethodPost, s.URL+"/a", pr)
		require.NoError(t, err)
		req.Host, req.ContentLength = serviceName, length
		req.Header.Set("Request-Timeout", "30")
		resp, err := s.Client().Do(req)
		if err == nil {
			_ = resp.Body.Close()
			require.Contains(t, []int{http.StatusGatewayTimeout, http.StatusRequestTimeout}, resp.StatusCode)
		}
		_ = pw.Close()
	}
}

// Guards against a server that keeps working on a call after the caller closed its connection.
func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	working, canceled := make(chan struct{}), make(chan struct{})
	s := newInstance(t, localService(serverFor(t, func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(canceled)
	})))
	ctx, cancel := context.WithCancel(contextWithTimeout(t))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/a", http.NoBody)
	require.NoError(t, err)
	req.Host = serviceName
	go func() {
		<-working
		cancel()
	}()
	_, err = s.Client().Do(req)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-canceled:
	case <-time.After(callerTimeout):
		t.Fatal("server was not canceled")
	}
}

// Guards against responses that have no body by definition being treated as truncated, and against their
// connections not being reused.
func TestResponsesWithoutBody(t *testing.T) {
	var conns atomic.Int32
	b := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", `"1"`)
		switch r.URL.Path {
		case "/head":
			// Without a length the proxy forwards the header before it has released the connection.
			w.Header().Set("Content-Length", "5")
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.WriteHeader(http.StatusNotModified)
		}
	}))
	b.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	b.Start()
	defer b.Close()
	s := newInstance(t, localService(server("s0", address(b.Listener))))
	tests := []struct {
		method, path string
		status       int
	}{
		{method: http.MethodHead, path: "/head", status: http.StatusOK},
		{method: http.MethodPost, path: "/204", status: http.StatusNoContent},
		{method: http.MethodGet, path: "/304", status: http.StatusNotModified},
		{method: http.MethodDelete, path: "/a", status: http.StatusOK},
	}
	for _, tt := range tests {
		got := request(s, tt.method, tt.path, nil)
		require.NoError(t, got.err)
		require.Equal(t, tt.status, got.status)
		require.Equal(t, `"1"`, got.header.Get("Etag"))
	}
	require.EqualValues(t, 1, conns.Load())
}
