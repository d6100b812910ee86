package peer_test

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/schema/wire"
)

type discardLog struct{}

func (discardLog) Debugf(string, ...any) {}
func (discardLog) Warnf(string, ...any)  {}

type pingHandler struct{}

func (pingHandler) Ping(_ context.Context, p *wire.Ping) (*wire.Pong, error) {
	if p.Sender == "panic" {
		panic("requested")
	}
	return &wire.Pong{Sender: "server", Incarnation: p.Incarnation}, nil
}

func startPeer(t *testing.T, opts ...peer.Option) (*peer.Peer, netip.AddrPort) {
	t.Helper()
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return servePeer(t, sock, opts...), netip.MustParseAddrPort(sock.Addr().String())
}

func servePeer(t *testing.T, sock net.Listener, opts ...peer.Option) *peer.Peer {
	t.Helper()
	p := peer.New(clockwork.NewRealClock(), discardLog{}, opts...)
	p.ServePing(pingHandler{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = p.Run(ctx, sock) }()
	t.Cleanup(func() {
		cancel()
		<-p.Done()
	})
	return p
}

func ping(t *testing.T, p *peer.Peer, to netip.AddrPort, sender string) error {
	t.Helper()
	got, err := p.Ping(t.Context(), to, &wire.Ping{Sender: "x", Incarnation: 7})
	if err == nil {
		require.Equal(t, "server", string(got.Sender))
		require.EqualValues(t, 7, got.Incarnation)
	}
	if sender != "x" {
		_, err = p.Ping(t.Context(), to, &wire.Ping{Sender: "panic", Incarnation: 7})
	}
	return err
}

// Guards against goroutines and connections that outlive Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a panic in a method that ends the process or closes the connection.
func TestPanicInMethodIsAnError(t *testing.T) {
	_, to := startPeer(t)
	p, _ := startPeer(t)
	var rejected *jsonrpc2.Error
	require.ErrorAs(t, ping(t, p, to, "panic"), &rejected)
	require.EqualValues(t, jsonrpc2.CodeInternalError, rejected.Code)
	require.NoError(t, ping(t, p, to, "x"))
}

// Guards against a malformed message that gets no error response or an unspecific one, or ends the process.
func TestBadMessages(t *testing.T) {
	_, to := startPeer(t, peer.WithMaxMessageSize(4096))
	for _, c := range []struct{ name, send, want string }{
		{"not JSON", "GET / HTTP/1.1\r\n\r\n", `"code":-32700`},
		{"neither request nor response", `{"jsonrpc":"2.0"}`, `"code":-32600`},
		{"null", `null`, `"code":-32600`},
		{"empty batch", `[]`, `"code":-32600`},
		{"batch", `[{"jsonrpc":"2.0","method":"ping","id":1}]`, `"code":-32600`},
		{"id of a wrong type", `{"method":"ping","id":{}}`, `"code":-32600`},
		{"unknown method", `{"method":"none","params":{},"id":3}`, `"id":3,"error":{"code":-32601`},
		{"no params", `{"method":"ping","id":3}`, `"code":-32602,"message":"params missing"`},
		{"invalid sender", `{"method":"ping","params":{"sender":"A B","incarnation":1},"id":3}`, `invalid character`},
		{"missing field", `{"method":"ping","params":{"sender":"a"},"id":3}`, `incarnation in Ping: required`},
		{"unknown state", `{"method":"ping","params":{"sender":"a","incarnation":1,"members":[{"id":"b","incarnation":1,"state":"gone","domain":"d","region":"r","traffic":"1.1.1.1:1","peer":"1.1.1.1:1"}]},"id":3}`, `gone`},
		{"dead member without incarnation", `{"method":"ping","params":{"sender":"a","incarnation":1,"dead":["b"]},"id":3}`, `no incarnation`},
		{"too many records", `{"method":"ping","params":{"sender":"a","incarnation":1,"dead":["b@1"` + strings.Repeat(`,"b@1"`, 32) + `]},"id":3}`, `"code":-32602`},
		{"too large", `{"method":"` + strings.Repeat("x", 5000), `larger than the limit`},
		{"deep nesting", strings.Repeat("[", 4000), `larger than the limit`},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", to.String())
			require.NoError(t, err)
			defer func() { require.NoError(t, conn.Close()) }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = conn.Write([]byte(c.send + strings.Repeat(" ", 100)))
			require.NoError(t, err)
			line, err := bufio.NewReader(conn).ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, c.want)
		})
	}
}

// Guards against opening a connection for each call.
func TestConnectionIsReused(t *testing.T) {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counted := &countingListener{Listener: sock}
	servePeer(t, counted)
	p, _ := startPeer(t)
	for range 10 {
		require.NoError(t, ping(t, p, netip.MustParseAddrPort(sock.Addr().String()), "x"))
	}
	require.EqualValues(t, 1, counted.accepted.Load())
}

type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.accepted.Add(1)
	}
	return conn, err
}

// Guards against a peer that accepts connections and then sends nothing: the call must time out, and the next
// call must use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	to := netip.MustParseAddrPort(sock.Addr().String())
	p, _ := startPeer(t, peer.WithTimeout(200*time.Millisecond))
	begin := time.Now()
	require.Error(t, ping(t, p, to, "x"))
	require.Less(t, time.Since(begin), 2*time.Second)
	silent, err := sock.Accept()
	require.NoError(t, err)
	defer func() { require.NoError(t, silent.Close()) }()
	servePeer(t, sock)
	require.NoError(t, ping(t, p, to, "x"))
}

// Guards against dialing an unreachable peer again on every call.
func TestFailedDialBacksOff(t *testing.T) {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	to := netip.MustParseAddrPort(sock.Addr().String())
	require.NoError(t, sock.Close())
	clock := clockwork.NewFakeClock()
	p := peer.New(clock, discardLog{})
	require.ErrorContains(t, ping(t, p, to, "x"), "refused")
	require.ErrorContains(t, ping(t, p, to, "x"), "next try in 100ms")
	clock.Advance(100 * time.Millisecond)
	require.ErrorContains(t, ping(t, p, to, "x"), "refused")
	require.ErrorContains(t, ping(t, p, to, "x"), "next try in 200ms")
}
