package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxHeader bounds the size of a request's header until the configuration's limit is known.
	maxHeader = 64 << 10
	// headerTime bounds the time in which a request's header arrives.
	headerTime = 10 * time.Second
	// idleCheck is the time between two searches for idle callers.
	idleCheck = time.Second
	// settleStep is the time between two looks at whether the process keeps up, settleLate the lateness of a timer up
	// to which it does, and settleLooks the number of looks in a row that must say so.
	settleStep  = 10 * time.Millisecond
	settleLate  = 10 * time.Millisecond
	settleLooks = 3
	// defaultCallerIdle is the limit for idle callers until the configuration's limit is known.
	defaultCallerIdle = time.Minute
)

// Server accepts the connections of callers. Its limit for idle connections follows the configuration.
type Server struct {
	views Views
	clock clockwork.Clock
	srv   *http.Server

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

// NewServer returns a server that does not listen yet.
func NewServer(h *Handler, clock clockwork.Clock) *Server {
	s := &Server{views: h.views, clock: clock, idle: make(map[net.Conn]time.Time)}
	s.srv = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, MaxHeaderBytes: maxHeader, ConnState: s.track,
	}
	return s
}

// Serve serves the listener until Shutdown.
func (s *Server) Serve(sock net.Listener) error {
	if err := s.srv.Serve(sock); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Run closes the connections of idle callers until the context ends.
func (s *Server) Run(ctx context.Context) {
	ticker := s.clock.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.reap()
		case <-ctx.Done():
			return
		}
	}
}

// Shutdown closes the listener and idle connections, and waits for calls in flight until the context ends. A process
// that is short of processor time reads first what has arrived: a connection whose request waits to be read counts as
// idle.
func (s *Server) Shutdown(ctx context.Context) error {
	s.settle(ctx)
	return s.srv.Shutdown(ctx)
}

// settle waits until timers fire on time again.
func (s *Server) settle(ctx context.Context) {
	for n := 0; n < settleLooks; n++ {
		at := s.clock.Now()
		select {
		case <-s.clock.After(settleStep):
		case <-ctx.Done():
			return
		}
		if s.clock.Since(at)-settleStep > settleLate {
			n = -1
		}
	}
}

// track notes since when a connection has been idle.
func (s *Server) track(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateIdle {
		s.idle[c] = s.clock.Now()
	} else {
		delete(s.idle, c)
	}
}

// reap closes connections that have been idle for longer than the limit in force.
func (s *Server) reap() {
	limit := defaultCallerIdle
	if cfg := s.views.Load().Config; cfg != nil && cfg.Limits.IdleTimeout > 0 {
		limit = cfg.Limits.IdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if s.clock.Since(since) > limit {
			delete(s.idle, c)
			_ = c.Close()
		}
	}
}
