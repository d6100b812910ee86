package peer_test

import (
	"bufio"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/schema/wire"
)

// Guards against a reply of another instance that breaks off and is taken for a whole one: the lists in it would lack
// servers.
func TestTruncatedReplyIsAnError(t *testing.T) {
	const reply = `{"jsonrpc":"2.0","id":0,"result":{"sender":"server","incarnation":7}}`
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, sock.Close()) }()
	next := make(chan int)
	go func() {
		for n := range next {
			nc, err := sock.Accept()
			if err != nil {
				return
			}
			// The identifiers of the requests on a connection count from 0.
			if line, err := bufio.NewReader(nc).ReadString('\n'); err == nil && strings.Contains(line, `"id":0`) {
				_, _ = nc.Write([]byte(reply[:n]))
			}
			_ = nc.Close()
		}
	}()
	defer close(next)
	to := netip.MustParseAddrPort(sock.Addr().String())
	for n := range len(reply) + 1 {
		p, _ := startPeer(t, peer.WithTimeout(5*time.Second))
		next <- n
		got, err := p.Ping(t.Context(), to, &wire.Ping{Sender: "x", Incarnation: 7})
		if n < len(reply) {
			require.Error(t, err, "after %d bytes: %q", n, reply[:n])
			continue
		}
		require.NoError(t, err)
		require.EqualValues(t, 7, got.Incarnation)
	}
}
