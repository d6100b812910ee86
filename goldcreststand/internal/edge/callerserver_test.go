package edge_test

import (
	"context"
	"flag"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/rules"
	"goldcreststand.example/goldcreststand/internal/edge"
	"goldcreststand.example/goldcreststand/internal/http1"
)

// useNetHTTP lets the tests run with net/http's server, which the handler must serve in the same way.
var useNetHTTP = flag.Bool("nethttp", false, "serve callers by net/http")

// callerServer is the server of the harness. Its handler can be replaced.
type callerServer struct {
	URL      string
	Listener net.Listener
	// srv is nil with net/http.
	srv     *http1.Server
	handler atomic.Pointer[edge.Handler]
	// kind replaces the kinds that the handler tells, if it is set.
	kind atomic.Value
}

var _ http1.Kinds = (*callerServer)(nil)

func (s *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.Load().ServeHTTP(w, r)
}

func (s *callerServer) Kind(r *http.Request) rules.Kind {
	if f, ok := s.kind.Load().(func(*http.Request) rules.Kind); ok {
		return f(r)
	}
	return s.handler.Load().Kind(r)
}

// newCallerServer serves the handler until the test ends.
func newCallerServer(t *testing.T, h *edge.Handler) *callerServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveCallers(t, ln, h)
}

// serveCallers serves the handler on the listener until the test ends.
func serveCallers(t *testing.T, ln net.Listener, h *edge.Handler) *callerServer {
	s := &callerServer{URL: "http://" + ln.Addr().String(), Listener: ln}
	s.handler.Store(h)
	if *useNetHTTP {
		srv := &http.Server{Handler: s}
		go func() { _ = srv.Serve(ln) }()
		t.Cleanup(func() { _ = srv.Close() })
		return s
	}
	srv := http1.New(s, clockwork.NewRealClock())
	s.srv = srv
	ctx, cancel := context.WithCancel(context.Background())
	go srv.Run(ctx)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() {
		_ = srv.Close()
		cancel()
	})
	return s
}
