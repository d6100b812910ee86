package edge

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/http1"
	"goldcreststand.example/lib/boot"
)

// defaultCallerIdleTimeout is the idle timeout of callers until the configuration is known.
const defaultCallerIdleTimeout = time.Minute

// Server accepts the connections of callers. The idle timeout and the largest size of a head follow the configuration.
type Server struct {
	snapshots Snapshots
	clock     clockwork.Clock
	srv       *http1.Server
}

// NewServer returns a server that does not listen yet. Run must run while it serves.
func NewServer(h *Handler, clock clockwork.Clock, opts ...http1.Option) *Server {
	s := &Server{snapshots: h.snapshots, clock: clock}
	opts = append([]http1.Option{
		http1.WithLog(h.log), http1.WithMetrics(&h.metrics.Conns), http1.WithMaxHeader(s.maxHeader),
		http1.WithIdleTimeout(s.idleTimeout),
	}, opts...)
	s.srv = http1.New(h, clock, opts...)
	return s
}

// Serve serves the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.srv.Serve(ln) }

// Run closes the connections of idle callers until the context ends.
func (s *Server) Run(ctx context.Context) { s.srv.Run(ctx) }

// Shutdown closes the listener, ends idle connections and waits for calls in flight until the context ends. Connections that wait
// to be accepted are lost with the listener, so a process that is short of processor time first catches up on them.
func (s *Server) Shutdown(ctx context.Context) error {
	boot.WaitForTimers(ctx, s.clock)
	return s.srv.Shutdown(ctx)
}

// CancelCalls ends the calls that are left after a Shutdown whose context has ended. Each gets a response that says whether it may have
// been executed. CancelCalls waits until these are written or the context ends.
func (s *Server) CancelCalls(ctx context.Context) error { return s.srv.CancelCalls(ctx) }

// maxHeader returns the largest size of a request's head.
func (s *Server) maxHeader() ident.Bytes {
	if cfg := s.snapshots.Load().Config; cfg != nil {
		return cfg.Limits.MaxHeader
	}
	return 0
}

// idleTimeout returns the time after which the connection of an idle caller is closed.
func (s *Server) idleTimeout() time.Duration {
	if cfg := s.snapshots.Load().Config; cfg != nil && cfg.Limits.IdleTimeout > 0 {
		return cfg.Limits.IdleTimeout
	}
	return defaultCallerIdleTimeout
}
