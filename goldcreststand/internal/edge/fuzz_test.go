package edge

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/lib/header"
)

// plainDialect reads the request id and the signature, and nothing else.
type plainDialect struct{}

var _ Dialect = plainDialect{}

func (plainDialect) ReadRequest(http.Header) (ident.RequestID, time.Duration, error) {
	return "r1", 0, nil
}
func (plainDialect) Key(http.Header) access.Key { return "" }

func (plainDialect) Prepare(http.Header, ident.ServerID, time.Duration, access.Caller) {}

func (plainDialect) RequestID(h http.Header) ident.RequestID {
	id, _ := header.Single(h, "Id")
	return ident.RequestID(id)
}

func (plainDialect) ServerID(h http.Header) ident.ServerID { return ident.ServerID(h.Get("Server")) }

func (plainDialect) NotExecuted(_ int, h http.Header) bool { return h.Get("Not-Executed") != "" }

func (plainDialect) Signed(h http.Header) bool { return h.Get("Sig") != "" }

func (plainDialect) Load(http.Header) (spread.LoadReport, bool) { return spread.LoadReport{}, false }

func (plainDialect) Notice(_ int, h http.Header) notice.Notice {
	return notice.Notice{Pause: header.RetryAfter(h)}
}
func (plainDialect) Clean(http.Header) {}

// bytesConn is a connection on which the bytes arrive and then its end.
type bytesConn struct {
	net.Conn
	in *bytes.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *bytesConn) Close() error                     { return nil }
func (c *bytesConn) SetDeadline(time.Time) error      { return nil }
func (c *bytesConn) LocalAddr() net.Addr              { return nil }
func (c *bytesConn) RemoteAddr() net.Addr             { return nil }
func (c *bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzResponse guards against bytes of a server that end the process, that are taken for the response to a call without
// its id and signature, or that use memory beyond the limits.
func FuzzResponse(f *testing.F) {
	const ok = "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\n"
	f.Add([]byte(ok + "Content-Length: 2\r\n\r\nok"))
	f.Add([]byte(ok + "\r\nto the end"))
	f.Add([]byte(ok + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: x\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: other\r\nSig: s\r\nContent-Length: 1\r\n\r\nx" + ok + "Content-Length: 1\r\n\r\ny"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 1e400\r\nContent-Length: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := &spread.Server{ID: "s1", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: spread.NewServerState(time.Unix(0, 0))}
		long := newLongBodies()
		c := newConn(s, &bytesConn{in: bytes.NewReader(b)}, long)
		resp, _, err := c.roundTrip(plainDialect{}, &serverRequest{method: http.MethodGet, id: "r1"})
		if err == nil {
			require.True(t, resp.notExecuted || resp.id == "r1")
			require.True(t, resp.notExecuted || resp.status >= http.StatusMultipleChoices || resp.signed)
			require.LessOrEqual(t, len(resp.body), maxBufferedBody)
		}
		if resp != nil {
			resp.release(long)
		}
		require.Empty(t, long, "the memory of a body stays reserved")
		_, _ = newConn(s, &bytesConn{in: bytes.NewReader(b)}, long).readCheck(plainDialect{})
	})
}
