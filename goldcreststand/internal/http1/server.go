// Package http1 serves HTTP/1 to callers. Unlike the server of net/http it reads requests ahead of the responses, and
// serves the safe calls of a connection concurrently. Responses are returned in the order of the requests.
package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/pipe"
	"goldcreststand.example/core/rules"
)

const (
	// MaxHeader is the largest size of a request's head.
	MaxHeader ident.Bytes = 64 << 10
	// defaultHeaderTimeout is the timeout for reading a request's head.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is the idle timeout of connections.
	defaultIdleTimeout = time.Minute
	// defaultStallTimeout is the time for which a caller may take none of a response. At most maxWrite bytes are written
	// at a time, so that a slow caller that reads steadily is not cut off.
	defaultStallTimeout = 5 * time.Second
	// scanInterval is the time between two searches for idle and stalled connections.
	scanInterval = time.Second
	// shutdownInterval is the time between two searches for connections that became idle during Shutdown.
	shutdownInterval = 10 * time.Millisecond
	// minAcceptDelay and maxAcceptDelay limit the wait after a failure to accept, such as too many open files.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	// maxSettleTime and settleFraction, a fraction of the time for the shutdown, limit how long Shutdown keeps a connection open
	// after it was accepted or last answered. A request may be on its way, and closing then resets the connection, which can
	// discard a response that the caller has not read.
	maxSettleTime  = time.Second
	settleFraction = 0.25
)

// Kinds tells the kind of a call from its request. A handler without this method serves only unsafe calls.
type Kinds interface {
	Kind(r *http.Request) rules.Kind
}

// ErrStopping is the cause with which CancelCalls ends the contexts of calls.
var ErrStopping = Error.New("server is stopping")

// Log logs what happens to connections. It must not block.
type Log interface {
	Failure(msg string, fields logrus.Fields)
}

type noLog struct{}

// Failure does nothing.
func (noLog) Failure(string, logrus.Fields) {}

// Server accepts the connections of callers.
type Server struct {
	handler       http.Handler
	kinds         Kinds
	clock         clockwork.Clock
	log           Log
	budget        Budget
	metrics       *Metrics
	limits        pipe.Limits
	headerTimeout time.Duration
	stallTimeout  time.Duration
	// maxHeader and idleTimeout return the current limits.
	maxHeader   func() ident.Bytes
	idleTimeout func() time.Duration
	done        chan struct{}
	workers     *workers
	// ahead is the number of calls in progress that were read ahead, on all connections.
	ahead atomic.Int64
	// ctx is the context of all calls. httputil.ReverseProxy breaks off a truncated response only if it has a server.
	ctx context.Context

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	// accepting is the number of calls of Serve, each of which may have accepted a connection that is not in conns yet.
	accepting int
	conns     map[*conn]struct{}
	// stopping is set by Shutdown and Close, and closed by Close.
	stopping, closed bool
}

// Option changes a server.
type Option func(*Server)

// WithLog sets the log.
func WithLog(l Log) Option { return func(s *Server) { s.log = l } }

// WithMetrics sets the metrics.
func WithMetrics(m *Metrics) Option { return func(s *Server) { s.metrics = m } }

// WithBudget limits the memory of all connections.
func WithBudget(b Budget) Option { return func(s *Server) { s.budget = b } }

// WithLimits sets the limits of what is read ahead from a connection.
func WithLimits(l pipe.Limits) Option { return func(s *Server) { s.limits = l } }

// WithMaxHeader limits the size of a request's head. A size of 0 or above MaxHeader means MaxHeader.
func WithMaxHeader(f func() ident.Bytes) Option { return func(s *Server) { s.maxHeader = f } }

// WithIdleTimeout sets the time after which an idle connection is closed.
func WithIdleTimeout(f func() time.Duration) Option { return func(s *Server) { s.idleTimeout = f } }

// WithHeaderTimeout sets the timeout for reading a request's head.
func WithHeaderTimeout(d time.Duration) Option { return func(s *Server) { s.headerTimeout = d } }

// WithStallTimeout sets the time for which a caller may take none of a response.
func WithStallTimeout(d time.Duration) Option { return func(s *Server) { s.stallTimeout = d } }

// New returns a server that does not listen yet. Run must run while it serves.
func New(h http.Handler, clock clockwork.Clock, opts ...Option) *Server {
	s := &Server{
		handler: h, clock: clock, log: noLog{}, budget: unlimited{}, metrics: new(Metrics), limits: pipe.DefaultLimits(),
		headerTimeout: defaultHeaderTimeout, stallTimeout: defaultStallTimeout,
		maxHeader:   func() ident.Bytes { return MaxHeader },
		idleTimeout: func() time.Duration { return defaultIdleTimeout },
		done:        make(chan struct{}), workers: newWorkers(), listeners: make(map[net.Listener]struct{}), conns: make(map[*conn]struct{}),
	}
	s.kinds, _ = h.(Kinds)
	s.ctx = context.WithValue(context.Background(), http.ServerContextKey, &http.Server{Handler: h})
	for _, o := range opts {
		o(s)
	}
	return s
}

// Serve serves the listener until Shutdown or Close. It then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	defer func() { _ = ln.Close() }()
	if !s.addListener(ln) {
		return nil
	}
	defer s.endServe()
	delay := minAcceptDelay
	for {
		nc, err := ln.Accept()
		if err == nil {
			delay = minAcceptDelay
			s.start(nc)
			continue
		}
		if s.isStopping() {
			return nil
		}
		// Too many open files, for example, ends with time. net/http's server relies on the same method.
		var ne interface{ Temporary() bool }
		if !errors.As(err, &ne) || !ne.Temporary() {
			return err
		}
		s.log.Failure("cannot accept a connection", logrus.Fields{"error": err.Error()})
		s.clock.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners[ln] = struct{}{}
	s.accepting++
	return true
}

// endServe notes that a call of Serve accepts no more connections.
func (s *Server) endServe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting--
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// start serves a connection in its own goroutine, also if it was accepted just before a Shutdown: its request may be on its way.
func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = nc.Close()
		return
	}
	c.ending = s.stopping
	s.conns[c] = struct{}{}
	s.metrics.Conns.Add(1)
	s.metrics.Accepted.Add(1)
	go c.serve()
}

// remove forgets a connection that has ended with all its calls.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.metrics.Conns.Add(-1)
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Run closes idle connections, and those whose callers do not read, until the context ends.
func (s *Server) Run(ctx context.Context) {
	defer close(s.done)
	ticker := s.clock.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.closeStale()
		case <-ctx.Done():
			return
		}
	}
}

// closeStale closes connections that were idle or stalled for too long.
func (s *Server) closeStale() {
	now, idle := s.clock.Now(), s.idleTimeout()
	for _, c := range s.snapshot() {
		c.endIfIdle(now, idle)
		if c.stalledFor(now) > s.stallTimeout {
			s.metrics.Stalled.Add(1)
			s.log.Failure("closed the connection of a caller that does not read", logrus.Fields{"caller": c.remote})
			c.abandon(endStalled)
		}
	}
}

// snapshot returns the connections.
func (s *Server) snapshot() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Shutdown closes the listeners and ends the idle connections, and waits until the calls that were read are answered or the
// context ends. Responses that are written from now on say that their connection ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	settle := maxSettleTime
	if end, ok := ctx.Deadline(); ok {
		settle = min(settle, time.Duration(settleFraction*float64(time.Until(end))))
	}
	return s.awaitConns(ctx, func(conns []*conn) {
		// All connections end after their calls before the first idle one closes: any response after that close says so.
		for _, c := range conns {
			c.endAfterRead()
		}
		for _, c := range conns {
			c.endIfSettled(s.clock.Now(), settle)
		}
	})
}

// CancelCalls follows a Shutdown whose context has ended. It cancels the contexts of the calls that were read, with the cause
// ErrStopping, and waits until all are answered or the context ends. Without it the process would end with those calls and with all
// that wait behind them, whose callers could not know whether they were executed.
func (s *Server) CancelCalls(ctx context.Context) error {
	s.stop()
	return s.awaitConns(ctx, func(conns []*conn) {
		for _, c := range conns {
			c.cancelCalls()
		}
	})
}

// hasEnded reports whether there are no connections and none can follow.
func (s *Server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0 && s.accepting == 0
}

// awaitConns calls step with the connections from time to time until all have ended or the context ends.
func (s *Server) awaitConns(ctx context.Context, step func([]*conn)) error {
	ticker := time.NewTicker(shutdownInterval)
	defer ticker.Stop()
	for {
		if s.hasEnded() {
			return nil
		}
		step(s.snapshot())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the listeners and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	for _, c := range s.snapshot() {
		c.abandon(endServerClosed)
	}
	return nil
}

// stop closes the listeners.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopping {
		s.stopping = true
		s.workers.stop()
	}
	for ln := range s.listeners {
		_ = ln.Close()
	}
	clear(s.listeners)
}
