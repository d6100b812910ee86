package http1_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/pipe"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/goldcreststand/internal/http1"
)

// gate is a handler whose calls wait until the test releases them. It reports the start and the end of each call.
type gate struct {
	started, ended chan string
	release        map[string]chan struct{}
}

func newGate(paths ...string) *gate {
	g := &gate{started: make(chan string, 64), ended: make(chan string, 64), release: make(map[string]chan struct{})}
	for _, p := range paths {
		g.release[p] = make(chan struct{})
	}
	return g
}

// serve waits for the release of the path, if it has one.
func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	g.started <- r.URL.Path
	defer func() { g.ended <- r.URL.Path }()
	if ch, ok := g.release[r.URL.Path]; ok {
		select {
		case <-ch:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if strings.HasSuffix(r.URL.Path, "close") {
		w.Header().Set("Connection", "close")
	}
	echo(w, r)
}

// Guards against responses that overtake an earlier one, and against safe calls that wait for the first of them.
func TestSafeCallsRunAtOnceAndAreAnsweredInOrder(t *testing.T) {
	g := newGate("/safe/1")
	c := newCaller(t, handler(g.serve))
	c.get("/safe/1", "/safe/2", "/safe/3")
	var started []string
	for range 3 {
		started = append(started, receive(t, g.started))
	}
	require.ElementsMatch(t, []string{"/safe/1", "/safe/2", "/safe/3"}, started)
	require.ElementsMatch(t, []string{"/safe/2", "/safe/3"}, []string{receive(t, g.ended), receive(t, g.ended)})
	close(g.release["/safe/1"])
	require.Equal(t, []string{"/safe/1", "/safe/2", "/safe/3"}, c.bodies(3))
}

// Guards against an unsafe call that runs beside another one of its connection, whose caller would not know after a close
// which of them was executed.
func TestUnsafeCallRunsAlone(t *testing.T) {
	g := newGate("/safe/1", "/unsafe/2")
	c := newCaller(t, handler(g.serve))
	c.get("/safe/1", "/unsafe/2", "/safe/3", "/unsafe/4")
	require.Equal(t, "/safe/1", receive(t, g.started))
	time.Sleep(50 * time.Millisecond)
	require.Empty(t, g.started)
	close(g.release["/safe/1"])
	require.Equal(t, "/unsafe/2", receive(t, g.started))
	time.Sleep(50 * time.Millisecond)
	require.Empty(t, g.started)
	close(g.release["/unsafe/2"])
	require.Equal(t, []string{"/safe/1", "/unsafe/2", "/safe/3", "/unsafe/4"}, c.bodies(4))
}

// Guards against bytes of a body that are taken for the next request, in whatever pieces they arrive.
func TestBodiesBetweenPipelinedCalls(t *testing.T) {
	const requests = "GET /safe/1 HTTP/1.1\nHost: a\n\n" +
		"POST /safe/2 HTTP/1.1\nHost: a\nContent-Length: 34\n\nGET /safe/no HTTP/1.1\nHost: a\n\n" +
		"POST /unsafe/3 HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\nTrailer: X-T\n\n3;x=y\nabc\n2\nde\n0\nX-T: 1\n\n" +
		"POST /unsafe/4 HTTP/1.1\nHost: a\nContent-Length: 3\n\nxyz" +
		"GET /safe/5 HTTP/1.1\nHost: a\n\n"
	text := strings.ReplaceAll(requests, "\n", "\r\n")
	for name, size := range map[string]int{"at once": len(text), "bytes": 1, "pieces": 17} {
		t.Run(name, func(t *testing.T) {
			c := newCaller(t, handler(echo))
			for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
				_, err := io.WriteString(c, rest[:min(size, len(rest))])
				require.NoError(t, err)
				time.Sleep(time.Microsecond)
			}
			require.Equal(t, []string{
				"/safe/1", "/safe/2GET /safe/no HTTP/1.1\r\nHost: a\r\n\r\n", "/unsafe/3abcde", "/unsafe/4xyz", "/safe/5",
			}, c.bodies(5))
		})
	}
}

// Guards against a call that is executed, or answered, behind a response that closes the connection.
func TestNothingRunsBehindAClose(t *testing.T) {
	for name, first := range map[string]string{
		"by the response": "GET /unsafe/close HTTP/1.1\nHost: a\n\n",
		"by the request":  "GET /unsafe/1 HTTP/1.1\nHost: a\nConnection: close\n\n",
		"by the version":  "GET /unsafe/1 HTTP/1.0\nHost: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate("/unsafe/1", "/unsafe/close")
			c := newCaller(t, handler(g.serve))
			c.send("%sPOST /unsafe/2 HTTP/1.1\nHost: a\nContent-Length: 1\n\nxGET /safe/3 HTTP/1.1\nHost: a\n\n", first)
			receive(t, g.started)
			time.Sleep(50 * time.Millisecond)
			for _, ch := range g.release {
				close(ch)
			}
			resp, _ := c.next()
			require.True(t, resp.Close)
			c.requireEnd()
			require.Empty(t, g.started)
		})
	}
}

// Guards against a truncated response that looks complete, against responses behind it, and against earlier responses
// that it cuts off.
func TestTruncatedResponseEndsTheConnection(t *testing.T) {
	canceled := make(chan struct{})
	c := newCaller(t, handler(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/safe/1":
			time.Sleep(50 * time.Millisecond)
		case "/safe/2":
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/safe/3":
			<-r.Context().Done()
			close(canceled)
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	}))
	c.get("/safe/1", "/safe/2", "/safe/3", "/unsafe/4")
	require.Equal(t, []string{"/safe/1"}, c.bodies(1))
	b, err := io.ReadAll(c.br)
	require.NoError(t, err)
	require.NotContains(t, string(b), "0\r\n\r\n")
	receive(t, canceled)
}

// Guards against a rejection in the middle that holds up or confuses the calls around it.
func TestRejectionInTheMiddle(t *testing.T) {
	c := newCaller(t, handler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/2" {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(10 * time.Millisecond)
		echo(w, r)
	}))
	c.get("/safe/1", "/safe/2", "/safe/3")
	for _, want := range []int{200, 503, 200} {
		resp, _ := c.next()
		require.Equal(t, want, resp.StatusCode)
	}
}

// Guards against an invalid request that cuts off the responses before it, and against what follows it.
func TestInvalidRequestIsAnsweredInItsTurn(t *testing.T) {
	g := newGate("/safe/1")
	c := newCaller(t, handler(g.serve))
	c.send("GET /safe/1 HTTP/1.1\nHost: a\n\nGET /safe/2 HTTP/1.1\nHost: a\n folded\n\nGET /safe/3 HTTP/1.1\nHost: a\n\n")
	receive(t, g.started)
	time.Sleep(50 * time.Millisecond)
	close(g.release["/safe/1"])
	require.Equal(t, []string{"/safe/1"}, c.bodies(1))
	resp, _ := c.next()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	c.requireEnd()
	require.Empty(t, g.started)
}

// Guards against calls that go on after their caller has left, in each state of the connection.
func TestCallersCloseCancelsAllCalls(t *testing.T) {
	const full = "GET /safe/x HTTP/1.1\nHost: a\n\n"
	for name, tt := range map[string]struct {
		requests string
		limits   pipe.Limits
		running  int
	}{
		"nothing else":        {requests: full, running: 1},
		"calls beside it":     {requests: full + full + full, running: 3},
		"an unsafe call":      {requests: full + "GET /unsafe/2 HTTP/1.1\nHost: a\n\n" + full, running: 1},
		"half of a head":      {requests: full + "GET /safe/2 HTT", running: 1},
		"a body":              {requests: full + "POST /unsafe/2 HTTP/1.1\nHost: a\nContent-Length: 100000\n\n" + strings.Repeat("x", 9000), running: 1},
		"half of a body":      {requests: full + "POST /safe/2 HTTP/1.1\nHost: a\nContent-Length: 9\n\nhalf", running: 2},
		"after a last one":    {requests: full + "GET /safe/2 HTTP/1.1\nHost: a\nConnection: close\n\n" + strings.Repeat(full, 1000), running: 2},
		"more than the bound": {requests: strings.Repeat(full, 1000), limits: pipe.Limits{Calls: 2, Bytes: 1000, Total: 10}, running: 2},
	} {
		t.Run(name, func(t *testing.T) {
			if tt.limits.Calls == 0 {
				tt.limits = pipe.DefaultLimits()
			}
			started, ended := make(chan struct{}, 64), make(chan struct{}, 64)
			c := newCaller(t, handler(func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				_, _ = io.ReadAll(r.Body)
				<-r.Context().Done()
				ended <- struct{}{}
			}), http1.WithLimits(tt.limits))
			c.send("%s", tt.requests)
			for range tt.running {
				receive(t, started)
			}
			time.Sleep(50 * time.Millisecond)
			require.Empty(t, started)
			require.NoError(t, c.Close())
			for range tt.running {
				receive(t, ended)
			}
		})
	}
}

// Guards against reading ahead without a bound.
func TestReadAheadIsBounded(t *testing.T) {
	m := new(http1.Metrics)
	var running atomic.Int32
	release := make(chan struct{})
	c := newCaller(t, handler(func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		<-release
		echo(w, r)
	}), http1.WithMetrics(m))
	paths := make([]string, 100)
	for i := range paths {
		paths[i] = "/safe/x"
	}
	c.get(paths...)
	require.Eventually(t, func() bool { return running.Load() == pipe.DefaultCalls }, timeout, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, pipe.DefaultCalls, running.Load())
	close(release)
	require.Equal(t, paths, c.bodies(len(paths)))
	require.GreaterOrEqual(t, m.ReadAhead.Value(), int64(pipe.DefaultCalls-1))
}

// Guards against many connections that each read ahead up to their own bound, and together take the memory, and against
// connections that are not served any more when the common bound is reached.
func TestReadAheadOfAllConnectionsIsBounded(t *testing.T) {
	const conns, depth, total = 20, 8, 10
	var running atomic.Int32
	release := make(chan struct{})
	_, address := newServer(t, handler(func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		<-release
		echo(w, r)
	}), http1.WithLimits(pipe.Limits{Calls: 32, Bytes: 1 << 20, Total: total}))
	paths := strings.Split(strings.Repeat("/safe/x ", depth)[:depth*8-1], " ")
	callers := make([]*caller, conns)
	for i := range callers {
		callers[i] = dial(t, address)
		callers[i].get(paths...)
	}
	require.Eventually(t, func() bool { return running.Load() >= conns+total }, timeout, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	// Connections that read at the same moment may exceed the bound by one call each.
	require.LessOrEqual(t, running.Load(), int32(2*conns+total))
	close(release)
	for _, c := range callers {
		require.Equal(t, paths, c.bodies(depth))
	}
}

// Guards against responses that are held back without a bound, and against a handler that waits for its turn for longer
// than its deadline.
func TestHeldBackResponsesAreBounded(t *testing.T) {
	g := newGate("/safe/1")
	written, failed := make(chan int, 1), make(chan error, 1)
	c := newCaller(t, handler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/safe/2" {
			g.serve(w, r)
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		n := 0
		for {
			k, err := w.Write(make([]byte, 8<<10))
			if n += k; err != nil {
				written <- n
				failed <- err
				panic(http.ErrAbortHandler)
			}
		}
	}))
	c.get("/safe/1", "/safe/2")
	require.Less(t, receive(t, written), 256<<10)
	require.ErrorContains(t, receive(t, failed), "timeout")
	close(g.release["/safe/1"])
	require.Equal(t, []string{"/safe/1"}, c.bodies(1))
	c.requireEnd()
}

// Guards against a long response that is cut off or mixed with others because it had to wait for its turn.
func TestLongResponsesAreAnsweredInOrder(t *testing.T) {
	c := newCaller(t, handler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/0" {
			time.Sleep(50 * time.Millisecond)
		}
		for range 20 {
			_, _ = io.WriteString(w, strings.Repeat(r.URL.Path, 5000))
		}
	}))
	c.get("/safe/0", "/safe/1", "/safe/2", "/safe/3")
	for i, b := range c.bodies(4) {
		require.Equal(t, strings.Repeat("/safe/"+string(rune('0'+i)), 100000), b)
	}
}

// Guards against a caller that does not read its responses and holds memory and a connection for good.
func TestCallerThatDoesNotRead(t *testing.T) {
	m := new(http1.Metrics)
	ended := make(chan struct{})
	c := newCaller(t, handler(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}), http1.WithMetrics(m), http1.WithStallTimeout(100*time.Millisecond))
	c.get("/safe/1")
	receive(t, ended)
	require.EqualValues(t, 1, m.Stalled.Value())
	require.Eventually(t, func() bool { return m.Conns.Value() == 0 }, timeout, time.Millisecond)
}

// Guards against a planned stop that drops calls which were read, and against an answer that does not tell the end.
func TestShutdownAnswersPipelinedCalls(t *testing.T) {
	g := newGate("/safe/1", "/unsafe/3")
	s, address := newServer(t, handler(g.serve))
	idle, c := dial(t, address), dial(t, address)
	idle.get("/safe/x")
	idle.bodies(1)
	receive(t, g.started)
	c.get("/safe/1", "/safe/2", "/unsafe/3")
	receive(t, g.started)
	receive(t, g.started)
	time.Sleep(50 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	idle.requireEnd()
	close(g.release["/safe/1"])
	require.Equal(t, "/unsafe/3", receive(t, g.started))
	close(g.release["/unsafe/3"])
	for _, last := range []bool{false, false, true} {
		resp, _ := c.next()
		require.Equal(t, last, resp.Close)
	}
	c.requireEnd()
	require.NoError(t, receive(t, done))
}

// Guards against a panic of one handler that ends the process or other connections.
func TestPanicEndsItsConnection(t *testing.T) {
	_, address := newServer(t, handler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/panic" {
			panic("fault")
		}
		echo(w, r)
	}))
	a, b := dial(t, address), dial(t, address)
	a.get("/safe/panic", "/safe/1")
	a.requireEnd()
	b.get("/safe/1")
	require.Equal(t, []string{"/safe/1"}, b.bodies(1))
}

// failingKinds is a handler that panics when it is asked for the kind of a request for /fault.
type failingKinds struct{ handler }

func (h failingKinds) Kind(r *http.Request) rules.Kind {
	if r.URL.Path == "/fault" {
		panic("fault")
	}
	return h.handler.Kind(r)
}

// Guards against a request that ends the process, and with it the calls of all connections, because reading it panics.
func TestPanicOfReaderEndsItsConnection(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	_, address := newServer(t, failingKinds{func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		echo(w, r)
	}})
	a, b := dial(t, address), dial(t, address)
	b.get("/unsafe/1")
	receive(t, started)
	a.get("/fault")
	a.requireEnd()
	close(release)
	require.Equal(t, []string{"/unsafe/1"}, b.bodies(1))
}
