package cmd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/rules"
)

// Ports of the tests' listeners. They are below those that Linux gives to outgoing connections, which could take a port before
// the test listens on it.
const (
	firstPort = 12000
	lastPort  = 31999
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	const attempts = 100
	for range attempts {
		sock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1)))
		if err == nil {
			require.NoError(t, sock.Close())
			return sock.Addr().String()
		}
	}
	require.Fail(t, "no port is free")
	return ""
}

// Guards against a planned stop under load that cuts off calls which have just been accepted: a caller that sends calls
// on a kept connection must get an answer to each, the last of which says that the connection ends.
func TestPlannedStopAnswersAcceptedCalls(t *testing.T) {
	h := unsafeHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = w.Write([]byte("ok"))
	})
	address := freeAddress(t)
	t.Run("read ahead", func(t *testing.T) {
		testPlannedStop(t, newListener("traffic", address, h, clockwork.NewRealClock()))
	})
	t.Run("one by one", func(t *testing.T) {
		testPlannedStop(t, newListener("traffic", address, http.HandlerFunc(h), clockwork.NewRealClock()))
	})
}

// unsafeHandler is a handler whose calls are unsafe.
type unsafeHandler func(w http.ResponseWriter, r *http.Request)

func (h unsafeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h(w, r) }

func (unsafeHandler) Kind(*http.Request) rules.Kind { return rules.KindUnsafe }

func testPlannedStop(t *testing.T, l *listener) {
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- serveAll(ctx, []*listener{l}, 10*time.Second, clockwork.NewRealClock(), logrus.New())
	}()
	c := startKeptCallers(t, l.address)
	stop()
	c.wg.Wait()
	require.NoError(t, <-ended)
	require.Zero(t, c.lost.Load())
}

// keptCallers are callers that send calls on kept connections until a response says that the connection ends.
type keptCallers struct {
	wg sync.WaitGroup
	// lost counts calls without a response.
	served, lost atomic.Int32
	conns        []net.Conn
}

// startKeptCallers starts callers and waits until they have got responses.
func startKeptCallers(t *testing.T, address string) *keptCallers {
	const callers = 64
	c := new(keptCallers)
	for range callers {
		nc := dialLater(t, address)
		c.conns = append(c.conns, nc)
		c.wg.Go(func() { c.call(nc) })
	}
	t.Cleanup(c.cutOff)
	require.Eventually(t, func() bool { return c.served.Load() > 4*callers }, 10*time.Second, time.Millisecond)
	return c
}

// dialLater connects to a server that may not listen yet.
func dialLater(t *testing.T, address string) net.Conn {
	var nc net.Conn
	require.Eventually(t, func() (ok bool) {
		var err error
		nc, err = net.Dial("tcp", address)
		return err == nil
	}, 5*time.Second, time.Millisecond)
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

func (c *keptCallers) call(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		time.Sleep(time.Millisecond)
		_, _ = fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			c.lost.Add(1)
			return
		}
		c.served.Add(1)
		_, _ = br.Discard(int(resp.ContentLength))
		if resp.Close {
			return
		}
	}
}

// cutOff closes the connections, as the end of the process does, and waits for the callers.
func (c *keptCallers) cutOff() {
	for _, nc := range c.conns {
		_ = nc.Close()
	}
	c.wg.Wait()
}

// failingServer is an HTTP server whose listener fails when the channel is closed.
type failingServer chan struct{}

var errListenerFailed = errors.New("listener failed")

// Serve returns an error once the channel is closed.
func (s failingServer) Serve(net.Listener) error {
	<-s
	return errListenerFailed
}

// Shutdown does nothing.
func (failingServer) Shutdown(context.Context) error { return nil }

// Guards against the failure of one listener that cuts off the calls at the others.
func TestFailedListenerEndsAfterShutdown(t *testing.T) {
	h := unsafeHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = w.Write([]byte("ok"))
	})
	traffic := newListener("traffic", freeAddress(t), h, clockwork.NewRealClock())
	fail := make(failingServer)
	ended := make(chan error, 1)
	go func() {
		ended <- serveAll(t.Context(), []*listener{traffic, {name: "admin", address: "127.0.0.1:0", srv: fail}}, 10*time.Second, clockwork.NewRealClock(), logrus.New())
	}()
	c := startKeptCallers(t, traffic.address)
	close(fail)
	err := <-ended
	c.cutOff()
	require.ErrorIs(t, err, errListenerFailed)
	require.Zero(t, c.lost.Load())
}

// Guards against a planned stop that closes a kept connection as idle although its reader has just read a request.
func TestPlannedStopAnswersARequestThatIsBeingRead(t *testing.T) {
	const drain = 2 * time.Second
	h := unsafeHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	clock := clockwork.NewRealClock()
	for name, l := range map[string]*listener{"callers": newListener("traffic", "", h, clock), "operators": newListener("admin", "", http.HandlerFunc(h), clock)} {
		t.Run(name, func(t *testing.T) {
			sock, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			late := &lateListener{Listener: sock, conns: make(chan *lateConn, 1)}
			go func() { _ = l.srv.Serve(late) }()
			nc, err := net.Dial("tcp", sock.Addr().String())
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			require.NoError(t, nc.SetDeadline(time.Now().Add(patience)))
			br := bufio.NewReader(nc)
			call := func() { _, _ = fmt.Fprint(nc, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n") }
			call()
			resp, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			_, _ = br.Discard(int(resp.ContentLength))
			server := <-late.conns
			server.stop.Store(true)
			call()
			<-server.reached
			ended := make(chan error, 1)
			go func() { ended <- shutdown([]*listener{l}, drain, clock) }()
			// By three quarters of the drain time the shutdown has looked for idle connections.
			select {
			case <-server.ended:
			case <-time.After(drain * 3 / 4):
			}
			close(server.release)
			resp, err = http.ReadResponse(br, nil)
			require.NoError(t, err)
			require.True(t, resp.Close)
			require.NoError(t, nc.Close())
			require.NoError(t, <-ended)
		})
	}
}

// recordingHTTPServer is an HTTP server that records that it has served.
type recordingHTTPServer struct {
	failingServer
	served chan struct{}
}

// Serve records that it was called.
func (s recordingHTTPServer) Serve(net.Listener) error {
	close(s.served)
	return nil
}

// Guards against a start that fails when callers are already served, whose calls would be cut off.
func TestNoCallsAreServedUnlessAllAddressesAreFree(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	srv := recordingHTTPServer{served: make(chan struct{})}
	ls := []*listener{{name: "traffic", address: freeAddress(t), srv: srv}, {name: "admin", address: taken.Addr().String(), srv: srv}}
	err = serveAll(t.Context(), ls, time.Second, clockwork.NewRealClock(), logrus.New())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	select {
	case <-srv.served:
		require.Fail(t, "calls were served")
	case <-time.After(100 * time.Millisecond):
	}
	_, err = net.Dial("tcp", ls[0].address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
