package intake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/core/ident"
)

// lines records the logged lines.
type lines struct {
	mu  sync.Mutex
	all []logrus.Fields
}

func (l *lines) StateChange(msg string, fields logrus.Fields) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fields["msg"] = msg
	l.all = append(l.all, fields)
}

// pipes is a listener whose connections are pipes. Peers holds the other sides.
type pipes struct {
	closed chan struct{}
	peers  chan net.Conn
}

func newPipes() *pipes { return &pipes{closed: make(chan struct{}), peers: make(chan net.Conn, 16)} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case <-p.closed:
		return nil, net.ErrClosed
	default:
	}
	here, there := net.Pipe()
	p.peers <- there
	return here, nil
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a gate with a listener for calls and two connections at most.
type fixture struct {
	t     *testing.T
	clock *clockwork.FakeClock
	log   *lines
	gate  *Gate
	pipes *pipes
	ln    net.Listener
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), log: new(lines), pipes: newPipes()}
	l := budget.Limits{
		Memory: 1 << 20, PeerMemory: 1 << 20, Conns: make(map[budget.Class]int),
		Stall: time.Second, IdleStall: 5 * time.Second, NewStall: time.Second / 5,
	}
	for _, c := range budget.ClassValues() {
		l.Conns[c] = 2
	}
	l.Conns[budget.ClassLookups] = 3
	f.gate = New(l, f.clock, f.log, NewMetrics())
	f.ln = f.gate.Listener(f.pipes, budget.ClassCalls)
	return f
}

// advance lets the time pass, with the searches in it.
func (f *fixture) advance(d time.Duration) {
	for range d / reliefInterval {
		f.clock.Advance(reliefInterval)
		f.gate.relieve()
	}
}

// accept accepts a connection and returns both sides.
func (f *fixture) accept() (*Conn, net.Conn) {
	nc, err := f.ln.Accept()
	require.NoError(f.t, err)
	return nc.(*Conn), <-f.pipes.peers
}

// receive lets the connection receive a text.
func (f *fixture) receive(c *Conn, from net.Conn, text string) error {
	go func() { _, _ = io.WriteString(from, text) }()
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

// held returns the memory that callers hold beside the connections themselves.
func (f *fixture) held() ident.Bytes {
	u := f.gate.usage()
	return u.Callers - ident.Bytes(u.Connections["calls"]+u.Connections["lookups"]+u.Connections["metrics"])*16<<10
}

// measures returns the number of measures of a kind.
func (f *fixture) measures(name string) string {
	if v := f.gate.metrics.measures.Get(name); v != nil {
		return v.String()
	}
	return "0"
}

// Guards against connections beyond the limit, and against a listener that accepts none after one has closed.
func TestListenerWaitsForRoom(t *testing.T) {
	f := newFixture(t)
	first, _ := f.accept()
	f.accept()
	accepted := make(chan error, 1)
	go func() {
		_, err := f.ln.Accept()
		accepted <- err
	}()
	require.Eventually(t, func() bool { return f.measures("wait.calls.connections") == "1" }, 5*time.Second, time.Millisecond)
	require.Empty(t, accepted)
	require.NoError(t, first.Close())
	require.NoError(t, <-accepted)
	require.Equal(t, 2, f.gate.usage().Connections["calls"])
}

// Guards against a planned stop that hangs because its listener waits for room.
func TestCloseEndsWait(t *testing.T) {
	f := newFixture(t)
	f.accept()
	f.accept()
	accepted := make(chan error, 1)
	go func() {
		_, err := f.ln.Accept()
		accepted <- err
	}()
	require.NoError(t, f.ln.Close())
	require.ErrorIs(t, <-accepted, net.ErrClosed)
}

// Guards against heads that take memory without a bound while they arrive.
func TestHeadWithoutRoomClosesConnection(t *testing.T) {
	f := newFixture(t)
	f.ln = f.gate.Listener(f.pipes, budget.ClassLookups)
	c, from := f.accept()
	require.ErrorIs(t, f.receive(c, from, strings.Repeat("a:1\r\n", 6000)), errNoRoom)
	_, err := c.Conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.ErrClosedPipe)
	require.Equal(t, "1", f.measures("refuse.lookups.field"))
	require.Zero(t, f.gate.usage().Callers)
}

// Guards against a head that is counted twice, or is not given back when its request is done.
func TestTrackedHeadIsGivenBack(t *testing.T) {
	f := newFixture(t)
	f.ln = f.gate.Listener(f.pipes, budget.ClassMetrics)
	c, from := f.accept()
	for range 3 {
		require.NoError(t, f.receive(c, from, strings.Repeat("a:1\r\n", 100)))
		require.Equal(t, ident.Bytes(500+100*200), f.held())
		c.beginTracked(90, 600)
		require.Equal(t, ident.Bytes(600+90*200), f.held())
		// Bytes behind the head are not parsed.
		require.NoError(t, f.receive(c, from, "body"))
		require.Equal(t, ident.Bytes(600+90*200), f.held())
		c.endTracked()
		require.Equal(t, ident.Bytes(600+90*200), f.held())
		ConnState(c, http.StateIdle)
		require.Zero(t, f.held())
	}
}

// Guards against what a call holds that is refused without a trace, or is given back in part.
func TestAccount(t *testing.T) {
	f := newFixture(t)
	c, _ := f.accept()
	account := f.gate.Account(c)
	require.True(t, account.Take(budget.ItemBody, 1000))
	require.False(t, account.Take(budget.ItemBody, 1<<20))
	require.Equal(t, "1", f.measures("refuse.calls.body"))
	account.Charge(budget.ItemAnswer, 2000)
	require.Equal(t, ident.Bytes(3000), f.held())
	account.Return(budget.ItemAnswer, 2000)
	account.Return(budget.ItemBody, 1000)
	require.Zero(t, f.held())
	require.True(t, account.MayReadAhead())
	account.Charge(budget.ItemAnswer, 900<<10)
	require.False(t, account.MayReadAhead())
}

// Guards against messages of other instances that are not given back when they were decoded.
func TestMessageIsGivenBack(t *testing.T) {
	f := newFixture(t)
	f.ln = f.gate.Listener(f.pipes, budget.ClassPeers)
	c, from := f.accept()
	before := f.gate.usage().Peers
	require.NoError(t, f.receive(c, from, `{"jsonrpc":"2.0"}`))
	require.Greater(t, f.gate.usage().Peers, before)
	c.MessageRead()
	require.Equal(t, before, f.gate.usage().Peers)
	requests := 0
	for c.BeginRequest() {
		requests++
	}
	require.Less(t, requests, 200)
	for range requests {
		c.EndRequest()
	}
	require.Equal(t, before, f.gate.usage().Peers)
	require.ErrorIs(t, f.receive(c, from, strings.Repeat("m", 1<<20)), errNoRoom)
}

// Guards against connections without progress that keep others out, against closing a call that is being worked on, and against
// closed connections that nobody is told of.
func TestStalledConnectionIsClosed(t *testing.T) {
	f := newFixture(t)
	working, from := f.accept()
	require.NoError(t, f.receive(working, from, "GET / HTTP/1.1\r\n\r\n"))
	working.BeginCall()
	silent, from := f.accept()
	require.NoError(t, f.receive(silent, from, "GET / HTTP/1.1\r\n"))
	ctx, stop := context.WithCancel(t.Context())
	go f.gate.Run(ctx)
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 2))
	go func() {
		for range 20 {
			f.clock.Advance(reliefInterval)
			time.Sleep(time.Millisecond)
		}
	}()
	_, err := from.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 1, f.gate.usage().Connections["calls"])
	stop()
	<-f.gate.Done()
	require.NotEmpty(t, f.log.all)
	line := f.log.all[0]
	require.Equal(t, "intake: connections closed", line["msg"])
	require.Equal(t, 1, line["count"])
	require.Equal(t, "pipe", line["remote"])
	require.Equal(t, "receiving", line["phase"])
	require.Equal(t, "1", f.measures("close.calls.connections"))
}

// Guards against a caller that is closed although it takes a long answer steadily, and against one that does not take it and is
// not closed.
func TestWritesAreProgress(t *testing.T) {
	f := newFixture(t)
	c, from := f.accept()
	c.Charge(budget.ItemAnswer, 960<<10)
	go func() { _, _ = c.Write(make([]byte, 8*maxWrite)) }()
	buffer := make([]byte, maxWrite)
	for range 6 {
		// The first byte of a part is sent only after the part before has counted.
		_, err := io.ReadFull(from, buffer[:1])
		require.NoError(t, err)
		f.advance(900 * time.Millisecond)
		_, err = io.ReadFull(from, buffer[1:])
		require.NoError(t, err)
	}
	_, err := io.ReadFull(from, buffer[:1])
	require.NoError(t, err)
	f.advance(2 * time.Second)
	_, err = from.Read(buffer)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against callers that are closed because the process itself stood still.
func TestPauseOfTheProcess(t *testing.T) {
	f := newFixture(t)
	c, from := f.accept()
	c.Charge(budget.ItemAnswer, 960<<10)
	require.NoError(t, f.receive(c, from, strings.Repeat("x", 600)))
	f.clock.Advance(10 * time.Second)
	f.gate.relieve()
	require.NoError(t, f.receive(c, from, strings.Repeat("x", 600)))
	f.advance(time.Second)
	require.Equal(t, 1, f.gate.usage().Connections["calls"])
	f.advance(time.Second)
	require.Zero(t, f.gate.usage().Connections["calls"])
}

// Guards against requests with bodies at addresses that take none, whose rest net/http would wait for, and against one that
// is not answered although there is room.
func TestTrackEndsAtBody(t *testing.T) {
	f := newFixture(t)
	c := f.gate.open(nullConn{}, budget.ClassLookups)
	served := 0
	h := Track(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		served++
		require.Equal(t, ident.Bytes(200+len("Field")+len("1")), f.held())
	}))
	r, err := http.NewRequestWithContext(WithConn(t.Context(), c), http.MethodGet, "/", nil)
	require.NoError(t, err)
	r.Header.Set("Field", "1")
	h.ServeHTTP(nil, r)
	ConnState(c, http.StateIdle)
	require.Zero(t, f.held())
	r.ContentLength = -1
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	require.Equal(t, "close", w.Header().Get("Connection"))
	require.Equal(t, 2, served)
	f.gate.open(nullConn{}, budget.ClassLookups)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { h.ServeHTTP(w, r) })
	require.Equal(t, 2, served)
	require.Equal(t, "1", f.measures("refuse.lookups.body"))
	require.Equal(t, 1, f.gate.usage().Connections["lookups"])
}

// serveTracked serves lookups with a tracked handler, and returns a connection to it. A value is sent when the handler has returned.
func (f *fixture) serveTracked() (nc net.Conn, returned chan struct{}) {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	returned = make(chan struct{}, 16)
	h := Track(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(w, r)
			returned <- struct{}{}
		}),
		ReadHeaderTimeout: 10 * time.Second, ConnContext: WithConn, ConnState: ConnState,
	}
	go func() { _ = s.Serve(f.gate.Listener(sock, budget.ClassLookups)) }()
	f.t.Cleanup(func() { _ = s.Close() })
	nc, err = net.Dial("tcp", sock.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = nc.Close() })
	return nc, returned
}

// requireNothingHeld requires that soon no head is counted.
func (f *fixture) requireNothingHeld() {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.held() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against heads that are no longer counted while net/http waits for the rest of a body and still holds them.
func TestHeadIsCountedUntilBodyHasEnded(t *testing.T) {
	f := newFixture(t)
	nc, returned := f.serveTracked()
	_, err := io.WriteString(nc, "POST / HTTP/1.1\r\nHost: a\r\nField: 1\r\nContent-Length: 2\r\n\r\n1")
	require.NoError(t, err)
	<-returned
	require.Never(t, func() bool { return f.held() == 0 }, 50*time.Millisecond, time.Millisecond)
	_, err = io.WriteString(nc, "2")
	require.NoError(t, err)
	f.requireNothingHeld()
}

// Guards against heads that stay counted on a connection that is kept.
func TestHeadsOfKeptConnectionAreGivenBack(t *testing.T) {
	f := newFixture(t)
	nc, _ := f.serveTracked()
	br := bufio.NewReader(nc)
	for range 3 {
		_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: a\r\nField: 1\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		f.requireNothingHeld()
		require.Equal(t, 1, f.gate.usage().Connections["lookups"])
	}
}

// Guards against garbage that is counted for ever, which would end all requests for readiness, lookups and metrics, and against
// garbage that waits for the heap to grow.
func TestGarbageIsCountedUntilItIsCollected(t *testing.T) {
	f := newFixture(t)
	f.ln = f.gate.Listener(f.pipes, budget.ClassLookups)
	c, from := f.accept()
	require.NoError(t, f.receive(c, from, strings.Repeat("a:1\r\n", 3000)))
	require.NoError(t, c.Close())
	const size = 3000 * (5 + 200)
	require.Equal(t, ident.Bytes(size), f.gate.usage().Garbage)
	f.gate.relieve()
	require.Equal(t, ident.Bytes(size), f.gate.usage().Garbage)
	ctx, cancel := context.WithCancel(t.Context())
	go f.gate.Run(ctx)
	require.Eventually(t, func() bool { return f.gate.usage().Garbage == 0 }, 10*time.Second, time.Millisecond)
	cancel()
	<-f.gate.Done()
}
