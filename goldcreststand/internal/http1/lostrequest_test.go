package http1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/http1"
)

// actionTimeout is the time for which the tests wait for a measure of the server that may not come.
const actionTimeout = 300 * time.Millisecond

// barrier stops the goroutine that reaches it until the test lets it go on.
type barrier struct {
	reached, release chan struct{}
}

func newBarrier() *barrier {
	return &barrier{reached: make(chan struct{}), release: make(chan struct{})}
}

// pass stops at the barrier. A nil barrier stops nothing.
func (b *barrier) pass() {
	if b != nil {
		close(b.reached)
		<-b.release
	}
}

// lateConn is a connection whose reader can be stopped around a read, as in a process that is short of processor time.
type lateConn struct {
	*net.TCPConn
	t *testing.T
	// before stops the next read while its bytes are still in the kernel, after once the read has taken them.
	before, after atomic.Pointer[barrier]
	// acted receives a value when the server closes the connection or sets a deadline for its reads, by which it interrupts one.
	acted chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	c.before.Swap(nil).pass()
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.after.Swap(nil).pass()
	}
	return n, err
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	defer c.act()
	return c.TCPConn.SetReadDeadline(t)
}

func (c *lateConn) Close() error {
	defer c.act()
	return c.TCPConn.Close()
}

func (c *lateConn) act() {
	select {
	case c.acted <- struct{}{}:
	default:
	}
}

// stopAfterRead returns a barrier for the next read that takes bytes.
func (c *lateConn) stopAfterRead() *barrier {
	b := newBarrier()
	c.after.Store(b)
	return b
}

// forgetActions discards the measures of the server so far.
func (c *lateConn) forgetActions() {
	select {
	case <-c.acted:
	default:
	}
}

// awaitAction waits for a measure of the server against the connection, or until it is clear that none comes.
func (c *lateConn) awaitAction() {
	select {
	case <-c.acted:
	case <-time.After(actionTimeout):
	}
}

// requireAction waits for a measure of the server against the connection.
func (c *lateConn) requireAction() { receive(c.t, c.acted) }

// lateListener accepts connections as lateConns, and passes them to the test.
type lateListener struct {
	net.Listener
	t     *testing.T
	conns chan *lateConn
	// before stops the first read of the next connection.
	before atomic.Pointer[barrier]
}

func (l *lateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &lateConn{TCPConn: nc.(*net.TCPConn), acted: make(chan struct{}, 1), t: l.t}
	c.before.Store(l.before.Swap(nil))
	l.conns <- c
	return c, nil
}

// lateServer is a server whose connections are lateConns.
type lateServer struct {
	*http1.Server
	t       *testing.T
	clock   *clockwork.FakeClock
	account *account
	ln      *lateListener
}

func newLateServer(t *testing.T, h http.Handler, opts ...http1.Option) *lateServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &lateServer{
		t: t, clock: clockwork.NewFakeClock(), account: newAccount(),
		ln: &lateListener{Listener: ln, t: t, conns: make(chan *lateConn, 8)},
	}
	s.Server = http1.New(h, s.clock, append(opts, http1.WithBudget(s.account))...)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	served := make(chan error, 1)
	go func() { served <- s.Serve(s.ln) }()
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		require.NoError(t, <-served)
		cancel()
		<-s.Done()
	})
	return s
}

// dial returns a new connection of a caller and the server's side of it.
func (s *lateServer) dial() (*caller, *lateConn) {
	c := dial(s.t, s.ln.Addr().String())
	return c, receive(s.t, s.ln.conns)
}

// dialBeingRead returns a kept connection with a request for /unsafe/2, and a barrier at which its reader has just taken it.
func (s *lateServer) dialBeingRead() (*caller, *lateConn, *barrier) {
	c, nc := s.dial()
	c.get("/unsafe/1")
	c.bodies(1)
	s.account.requireEmpty(s.t)
	b := nc.stopAfterRead()
	nc.forgetActions()
	c.get("/unsafe/2")
	receive(s.t, b.reached)
	return c, nc, b
}

// dialArrived returns a kept connection on which a request for /unsafe/2 has arrived, and a barrier before its reader takes it.
func (s *lateServer) dialArrived() (*caller, *lateConn, *barrier) {
	c, nc := s.dial()
	first := nc.stopAfterRead()
	c.get("/unsafe/1")
	receive(s.t, first.reached)
	b := newBarrier()
	nc.before.Store(b)
	close(first.release)
	c.bodies(1)
	s.account.requireEmpty(s.t)
	receive(s.t, b.reached)
	nc.forgetActions()
	c.get("/unsafe/2")
	return c, nc, b
}

// shutdown starts the shutdown of the server.
func (s *lateServer) shutdown() <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	return done
}

// scan lets the time pass and the server search for idle connections.
func (s *lateServer) scan(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	require.NoError(s.t, s.clock.BlockUntilContext(ctx, 1))
	s.clock.Advance(d)
}

// requireOpen requires that the connection does not end by itself.
func (c *caller) requireOpen() {
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(actionTimeout)))
	_, err := c.br.Peek(1)
	require.ErrorIs(c.t, err, os.ErrDeadlineExceeded)
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(timeout)))
}

// requireIdleEnd requires that an idle connection ends as the time passes.
func (s *lateServer) requireIdleEnd(c *caller) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-time.After(10 * time.Millisecond):
				s.clock.Advance(time.Second)
			case <-ended:
				return
			}
		}
	}()
	c.requireEnd()
}

// requireLast requires that the next response is the one to the request for the path, and says that the connection ends.
func (c *caller) requireLast(path string) {
	resp, b := c.next()
	require.Equal(c.t, path, b)
	require.True(c.t, resp.Close)
	c.requireEnd()
}

// Guards against a planned stop that takes a kept connection for idle although its reader has just read a request.
func TestShutdownAnswersARequestThatIsBeingRead(t *testing.T) {
	s := newLateServer(t, handler(echo))
	c, nc, b := s.dialBeingRead()
	s.clock.Advance(time.Second)
	done := s.shutdown()
	nc.requireAction()
	close(b.release)
	c.requireLast("/unsafe/2")
	require.NoError(t, receive(t, done))
}

// Guards against a planned stop that takes a kept connection for idle although a request has arrived that its reader had no
// processor time to read.
func TestShutdownAnswersARequestThatHasArrived(t *testing.T) {
	s := newLateServer(t, handler(echo))
	c, nc, b := s.dialArrived()
	s.clock.Advance(time.Second)
	done := s.shutdown()
	nc.requireAction()
	close(b.release)
	c.requireLast("/unsafe/2")
	require.NoError(t, receive(t, done))
}

// Guards against a planned stop that takes a connection for idle while the rest of an answered request's body is read,
// behind which the next request has arrived.
func TestShutdownAnswersARequestBehindTheRestOfABody(t *testing.T) {
	s := newLateServer(t, handler(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	c, nc := s.dial()
	c.send("POST /unsafe/1 HTTP/1.1\nHost: a\nContent-Length: 8\n\nhalf")
	resp, _ := c.next()
	require.False(t, resp.Close)
	s.account.requireEmpty(t)
	b := nc.stopAfterRead()
	nc.forgetActions()
	c.send("restGET /unsafe/2 HTTP/1.1\nHost: a\n\n")
	receive(t, b.reached)
	s.clock.Advance(time.Second)
	done := s.shutdown()
	nc.awaitAction()
	close(b.release)
	c.requireLast("/unsafe/2")
	require.NoError(t, receive(t, done))
}

// Guards against a planned stop that ends a connection behind a response which did not say so, although the next request
// has arrived.
func TestShutdownAnswersARequestBehindAResponseThatKeepsTheConnection(t *testing.T) {
	for _, tt := range []struct {
		name                  string
		readAhead, sentBefore bool
	}{
		{name: "being read", readAhead: true, sentBefore: true},
		{name: "not read yet"},
		{name: "awaited", readAhead: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			s := newLateServer(t, handler(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/plain")
				w.Header().Set("Content-Length", strconv.Itoa(len(r.URL.Path)))
				_, _ = io.WriteString(w, r.URL.Path)
				if r.URL.Path == "/unsafe/1" {
					_ = http.NewResponseController(w).Flush()
					<-release
				}
			}))
			s.account.noAhead.Store(!tt.readAhead)
			idle, _ := s.dial()
			idle.get("/unsafe/0")
			idle.bodies(1)
			c, nc := s.dial()
			c.get("/unsafe/1")
			resp, _ := c.next()
			require.False(t, resp.Close)
			var b *barrier
			if tt.sentBefore {
				b = nc.stopAfterRead()
				c.get("/unsafe/2")
				receive(t, b.reached)
			}
			done := s.shutdown()
			s.requireIdleEnd(idle)
			// By now the server has decided that the connections end after the calls that were read.
			if !tt.sentBefore {
				c.get("/unsafe/2")
			}
			nc.forgetActions()
			close(release)
			if tt.sentBefore {
				nc.awaitAction()
				close(b.release)
			}
			c.requireLast("/unsafe/2")
			require.NoError(t, receive(t, done))
		})
	}
}

// idleTimeout is the idle timeout of the connections in these tests.
const idleTimeout = 10 * time.Second

func withIdleTimeout() http1.Option {
	return http1.WithIdleTimeout(func() time.Duration { return idleTimeout })
}

// Guards against an idle timeout that closes a connection although its reader has read a request within the timeout.
func TestIdleTimeoutSparesARequestThatIsBeingRead(t *testing.T) {
	s := newLateServer(t, handler(echo), withIdleTimeout())
	c, nc, b := s.dialBeingRead()
	s.scan(2 * idleTimeout)
	nc.requireAction()
	close(b.release)
	require.Equal(t, []string{"/unsafe/2"}, c.bodies(1))
}

// Guards against an idle timeout that closes a connection although a request has arrived within the timeout, which its
// reader had no processor time to read.
func TestIdleTimeoutSparesARequestThatHasArrived(t *testing.T) {
	s := newLateServer(t, handler(echo), withIdleTimeout())
	c, nc, b := s.dialArrived()
	s.scan(2 * idleTimeout)
	nc.requireAction()
	close(b.release)
	require.Equal(t, []string{"/unsafe/2"}, c.bodies(1))
}

// Guards against an idle timeout that still ends a connection after it has spared a request.
func TestConnectionStaysOpenBehindASparedRequest(t *testing.T) {
	s := newLateServer(t, handler(echo), withIdleTimeout())
	c, nc, b := s.dialBeingRead()
	s.scan(2 * idleTimeout)
	nc.requireAction()
	close(b.release)
	require.Equal(t, []string{"/unsafe/2"}, c.bodies(1))
	c.requireOpen()
	c.get("/unsafe/3")
	require.Equal(t, []string{"/unsafe/3"}, c.bodies(1))
}

// Guards against a planned stop that closes a connection behind a response which its caller may not have read, and against
// one that never closes it.
func TestShutdownKeepsAConnectionThatWasJustAnswered(t *testing.T) {
	s := newLateServer(t, handler(echo))
	c, _ := s.dial()
	s.clock.Advance(time.Minute)
	c.get("/unsafe/1")
	c.bodies(1)
	s.account.requireEmpty(t)
	done := s.shutdown()
	c.requireOpen()
	s.requireIdleEnd(c)
	require.NoError(t, receive(t, done))
}

// Guards against a planned stop that closes a connection which was just accepted, on which a request is on its way.
func TestShutdownAnswersTheFirstRequestOfANewConnection(t *testing.T) {
	s := newLateServer(t, handler(echo))
	s.clock.Advance(time.Minute)
	c, _ := s.dial()
	done := s.shutdown()
	c.requireOpen()
	c.get("/unsafe/1")
	c.requireLast("/unsafe/1")
	require.NoError(t, receive(t, done))
}

// heldListener is a listener whose first connection is returned late, as in a process that is short of processor time.
type heldListener struct {
	net.Listener
	accepted, release chan struct{}
	once              sync.Once
}

func (l *heldListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	l.once.Do(func() {
		close(l.accepted)
		<-l.release
	})
	return nc, err
}

// Guards against a planned stop that closes a connection, or ends without it, because it was accepted and is not served yet.
func TestShutdownAnswersOnAConnectionThatIsNotServedYet(t *testing.T) {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln := &heldListener{Listener: sock, accepted: make(chan struct{}), release: make(chan struct{})}
	s := http1.New(handler(echo), clockwork.NewRealClock())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	c := dial(t, sock.Addr().String())
	c.get("/unsafe/1")
	receive(t, ln.accepted)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	time.Sleep(50 * time.Millisecond)
	require.Empty(t, done)
	close(ln.release)
	c.requireLast("/unsafe/1")
	require.NoError(t, receive(t, done))
	require.NoError(t, receive(t, served))
}

// Guards against a planned stop that interrupts the rest of a body, behind which the next request follows.
func TestShutdownLeavesTheRestOfABody(t *testing.T) {
	s := newLateServer(t, handler(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	c, nc := s.dial()
	c.send("POST /unsafe/1 HTTP/1.1\nHost: a\nContent-Length: 8\n\nhalf")
	resp, _ := c.next()
	require.False(t, resp.Close)
	s.account.requireEmpty(t)
	s.clock.Advance(time.Second)
	done := s.shutdown()
	c.requireOpen()
	b := nc.stopAfterRead()
	c.send("re")
	receive(t, b.reached)
	close(b.release)
	c.send("stGET /unsafe/2 HTTP/1.1\nHost: a\n\n")
	c.requireLast("/unsafe/2")
	require.NoError(t, receive(t, done))
}

// Guards against a request that arrived with the one before it and is dropped, because the handler of that one announced the end
// of the connection before the reader went on.
func TestRequestThatHasArrivedIsAnsweredThoughTheConnectionEnds(t *testing.T) {
	started, release := make(chan string, 2), make(chan struct{})
	s := newLateServer(t, handler(func(w http.ResponseWriter, r *http.Request) {
		w.(interface{ CloseAfterRead() }).CloseAfterRead()
		started <- r.URL.Path
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	s.account.noAhead.Store(true)
	c, _ := s.dial()
	c.get("/safe/1", "/safe/2")
	require.Equal(t, "/safe/1", receive(t, started))
	s.account.noAhead.Store(false)
	require.Equal(t, "/safe/2", receive(t, started))
	close(release)
	require.Equal(t, []string{"/safe/1"}, c.bodies(1))
	c.requireLast("/safe/2")
}

// Guards against calls in flight that get no response because the process ends when the time for a planned stop has passed, and against
// one that is not canceled because it was read or started afterwards.
func TestCancelCallsAnswersAllThatWereRead(t *testing.T) {
	s, address := newServer(t, handler(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), http1.ErrStopping) {
			_, _ = io.WriteString(w, r.URL.Path)
		}
	}))
	c := dial(t, address)
	c.get("/safe/1", "/safe/2", "/unsafe/3", "/unsafe/4")
	rest := dial(t, address)
	rest.send("POST /unsafe/5 HTTP/1.1\nHost: a\nContent-Length: 4\n\nhalf")
	rest.get("/unsafe/6")
	time.Sleep(50 * time.Millisecond)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.Shutdown(ended), context.Canceled)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.CancelCalls(ctx) }()
	require.Equal(t, []string{"/safe/1", "/safe/2", "/unsafe/3"}, c.bodies(3))
	c.requireLast("/unsafe/4")
	require.Equal(t, []string{"/unsafe/5"}, rest.bodies(1))
	rest.requireLast("/unsafe/6")
	require.NoError(t, c.Close())
	require.NoError(t, rest.Close())
	require.NoError(t, receive(t, done))
}

// Guards against a new connection that is closed because its first request has not arrived in time, although it has and the reader
// had no processor time to read it.
func TestHeaderTimeoutSparesARequestThatHasArrived(t *testing.T) {
	const headerTimeout = 100 * time.Millisecond
	t.Run("whole", func(t *testing.T) {
		s := newLateServer(t, handler(echo), http1.WithHeaderTimeout(headerTimeout))
		b := newBarrier()
		s.ln.before.Store(b)
		c, _ := s.dial()
		receive(t, b.reached)
		c.get("/unsafe/1")
		time.Sleep(2 * headerTimeout)
		close(b.release)
		require.Equal(t, []string{"/unsafe/1"}, c.bodies(1))
	})
	t.Run("in parts", func(t *testing.T) {
		s := newLateServer(t, handler(echo), http1.WithHeaderTimeout(headerTimeout))
		c, nc := s.dial()
		b := nc.stopAfterRead()
		c.send("GET /unsafe/1 HTTP/1.1\nHo")
		receive(t, b.reached)
		c.send("st: a\n\n")
		time.Sleep(2 * headerTimeout)
		close(b.release)
		require.Equal(t, []string{"/unsafe/1"}, c.bodies(1))
	})
}

// Guards against an idle timeout or a planned stop that interrupts the read of a request of which a part has arrived.
func TestRequestThatArrivesInPartsIsAnswered(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(s *lateServer)
		last bool
	}{
		{name: "idle timeout", end: func(s *lateServer) { s.scan(2 * idleTimeout) }},
		{name: "stop", last: true, end: func(s *lateServer) {
			s.clock.Advance(time.Second)
			s.shutdown()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newLateServer(t, handler(echo), withIdleTimeout())
			c, nc := s.dial()
			c.get("/unsafe/1")
			c.bodies(1)
			s.account.requireEmpty(t)
			nc.forgetActions()
			c.send("GET /unsafe/2 HTTP/1.1\n")
			// The reader sets the deadline of the head once it reads it.
			nc.requireAction()
			tt.end(s)
			nc.awaitAction()
			c.send("Host: a\n\n")
			resp, b := c.next()
			require.Equal(t, "/unsafe/2", b)
			require.Equal(t, tt.last, resp.Close)
		})
	}
}
