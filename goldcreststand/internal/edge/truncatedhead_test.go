package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/spread"
)

// cutConn is a connection on which the bytes arrive in pieces, and then the error.
type cutConn struct {
	bytesConn
	piece int
	end   error
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.in.Read(p[:min(len(p), c.piece)])
	if err != nil {
		err = c.end
	}
	return n, err
}

// wholeResponse is a response to the method. Its body may end with the connection.
type wholeResponse struct {
	name, method, text string
	status             int
	body               string
	endsWithConn       bool
}

// wholeResponses returns responses to the request r1, with each way to tell the end of the body.
func wholeResponses() []wholeResponse {
	const id = "Id: r1\r\nSig: s\r\n"
	out := []wholeResponse{
		{name: "length", text: "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 12\r\n\r\nhello, world", status: 200, body: "hello, world"},
		{name: "length first", text: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + id + "\r\nhello, world", status: 200, body: "hello, world"},
		{name: "empty", text: "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n", status: 200},
		{name: "chunks", text: "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\n\r\n", status: 200, body: "hello, world"},
		{name: "trailer", text: "HTTP/1.1 200 OK\r\n" + id + "Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: x\r\nU: y\r\n\r\n", status: 200, body: "hello"},
		{name: "no length", text: "HTTP/1.1 200 OK\r\n" + id + "\r\nto the end", status: 200, body: "to the end", endsWithConn: true},
		{name: "HTTP/1.0", text: "HTTP/1.0 200 OK\r\n" + id + "\r\nto the end", status: 200, body: "to the end", endsWithConn: true},
		{name: "HTTP/1.0 length", text: "HTTP/1.0 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok", status: 200, body: "ok"},
		{name: "informational", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok", status: 200, body: "ok"},
		{name: "204", text: "HTTP/1.1 204 No Content\r\n" + id + "\r\n", status: 204},
		{name: "304", text: "HTTP/1.1 304 Not Modified\r\n" + id + "Etag: \"1\"\r\n\r\n", status: 304},
		{name: "302", text: "HTTP/1.1 302 Found\r\n" + id + "Location: /there\r\nContent-Length: 0\r\n\r\n", status: 302},
		{name: "500", text: "HTTP/1.1 500 Broken\r\n" + id + "Content-Length: 3\r\n\r\nbad", status: 500, body: "bad"},
		{name: "refusal", text: "HTTP/1.1 503 Busy\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status: 503},
		{name: "line feeds", text: "HTTP/1.1 200 OK\nId: r1\nSig: s\nContent-Length: 2\n\nok", status: 200, body: "ok"},
		{name: "line feeds, no length", text: "HTTP/1.1 200 OK\nId: r1\nSig: s\n\nok", status: 200, body: "ok", endsWithConn: true},
		{name: "folded", text: "HTTP/1.1 200 OK\r\n" + id + "X: a\r\n b\r\nContent-Length: 2\r\nY: c\r\n\td\r\n\r\nok", status: 200, body: "ok"},
		{name: "no reason", text: "HTTP/1.1 200\r\n" + id + "Content-Length: 2\r\n\r\nok", status: 200, body: "ok"},
		{name: "both", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", status: 200, body: "hello"},
		{name: "HEAD", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 500\r\n\r\n", status: 200},
		{name: "HEAD, no length", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\n" + id + "\r\n", status: 200},
	}
	for i := range out {
		if out[i].method == "" {
			out[i].method = http.MethodGet
		}
	}
	return out
}

// headSize returns the size of the response's head with the informational responses before it.
func (r *wholeResponse) headSize() int {
	end := "\r\n\r\n"
	if strings.HasPrefix(r.name, "line feeds") {
		end = "\n\n"
	}
	n := 0
	for rest := r.text; ; rest = r.text[n:] {
		n += strings.Index(rest, end) + len(end)
		if !strings.HasPrefix(rest, "HTTP/1.1 1") {
			return n
		}
	}
}

// endings returns how a connection may end, by name.
func endings() map[string]error {
	return map[string]error{"closed": io.EOF, "reset": syscall.ECONNRESET, "silent": os.ErrDeadlineExceeded}
}

func newCutConn(text string, piece int, end error) *conn {
	s := &spread.Server{ID: "s1", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: spread.NewServerState(time.Unix(0, 0))}
	return newConn(s, &cutConn{bytesConn{in: bytes.NewReader([]byte(text))}, piece, end}, newLongBodies())
}

var _ net.Conn = (*cutConn)(nil)

// Guards against a response that breaks off at any byte of its head or its body, and is taken for a whole one, or whose
// connection is used again. Only a body without a length may end with a connection that was closed, not reset.
func TestTruncatedResponseIsNoResponse(t *testing.T) {
	for _, r := range wholeResponses() {
		for how, end := range endings() {
			t.Run(r.name+" "+how, func(t *testing.T) {
				for n := range len(r.text) + 1 {
					for _, piece := range []int{1, len(r.text)} {
						c := newCutConn(r.text[:n], piece, end)
						resp, wrote, err := c.roundTrip(plainDialect{}, &serverRequest{method: r.method, id: "r1"})
						require.True(t, wrote)
						whole, body := n == len(r.text), r.body
						if r.endsWithConn {
							whole = n >= r.headSize() && errors.Is(end, io.EOF)
							body = r.text[r.headSize():max(n, r.headSize())]
						}
						if !whole {
							require.Error(t, err, "%d bytes in pieces of %d: %q", n, piece, r.text[:n])
							require.Nil(t, resp)
							require.True(t, c.unusable)
							continue
						}
						require.NoError(t, err)
						require.Equal(t, r.status, resp.status)
						require.Equal(t, body, string(resp.body))
						require.Nil(t, resp.rest)
						require.Equal(t, r.endsWithConn || strings.HasPrefix(r.name, "HTTP/1.0"), c.unusable)
					}
				}
			})
		}
	}
}

// Guards against the reply to a status check that breaks off at any byte, and is taken for a whole one.
func TestTruncatedCheckReplyIsNoReply(t *testing.T) {
	const id = "Server: s1\r\n"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n" + id + "\r\n",
		"HTTP/1.1 503 Busy\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for how, end := range endings() {
			for n := range len(text) + 1 {
				for _, piece := range []int{1, len(text)} {
					_, err := newCutConn(text[:n], piece, end).readCheck(plainDialect{})
					require.Equal(t, n == len(text), err == nil, "%s after %d bytes in pieces of %d: %q", how, n, piece, text[:n])
				}
			}
		}
	}
}

// Guards against a head that breaks off and is followed by another response: the fields of both would be taken for those of
// one response, with the status of the first and the body of the second.
func TestHeadsOfTwoResponsesAreNoResponse(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nId: other\r\nSig: s\r\nContent-Length: 5\r\n\r\nwrong"
	const first = "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nX: y\r\nContent-Length: 3\r\n\r\n"
	for n := range len(first) {
		requireNoResponse(t, first[:n]+second)
	}
}

// Guards against a success that breaks off in its head and is followed by the failure of the same call, which a handler that
// fails while it writes sends: it would be taken for a success with the body of the failure.
func TestSuccessBeforeFailureIsNoSuccess(t *testing.T) {
	const failure = "HTTP/1.1 500 Broken\r\nId: r1\r\nContent-Length: 3\r\n\r\nbad"
	for _, success := range []string{
		"HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nX: y\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\nSig: s\r\nContent-Length: 3\r\nId: r1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\nSig: s\r\nTransfer-Encoding: chunked\r\nId: r1\r\n\r\n",
	} {
		for n := 1; n < len(success); n++ {
			requireNoResponse(t, success[:n]+failure)
		}
	}
}

// Guards against a refusal that breaks off and is followed by the response to the call, which was executed: both would be
// taken for a refusal of the call, which is then sent again.
func TestRefusalBeforeResponseIsNoRefusal(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nContent-Length: 5\r\n\r\nright"
	for _, refusal := range []string{
		"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nX: y\r\nId: r1\r\n",
		"HTTP/1.1 503 Busy\r\nX: y\r\nNot-Executed: 1\r\nRetry-After: 1\r\n",
	} {
		for n := 1; n < len(refusal); n++ {
			for _, piece := range []int{1, len(refusal) + len(response)} {
				c := newCutConn(refusal[:n]+response, piece, io.EOF)
				resp, _, err := c.roundTrip(plainDialect{}, &serverRequest{method: http.MethodGet, id: "r1"})
				if err == nil {
					require.False(t, resp.notExecuted, "%d bytes of the refusal: %q", n, refusal[:n])
					require.True(t, claimsNotExecuted(resp), "the caller must get 502")
				}
			}
		}
	}
}

// Guards against a response whose framing is faulty (RFC 9112, sections 5.1, 6.1 and 6.3) and whose body is taken for a
// whole one: where it ends is not known, or a peer may read it in another way.
func TestFaultyFramingIsNoResponse(t *testing.T) {
	for name, fields := range map[string]string{
		"other encoding":            "Transfer-Encoding: gzip\r\n\r\nxx",
		"identity":                  "Transfer-Encoding: identity\r\n\r\nxx",
		"two encodings":             "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
		"chunked twice":             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
		"empty encoding":            "Transfer-Encoding:\r\n\r\nxx",
		"space before the colon":    "Transfer-Encoding : chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n",
		"two lengths":               "Content-Length: 2\r\nContent-Length: 3\r\n\r\nxxx",
		"list of lengths":           "Content-Length: 2, 3\r\n\r\nxxx",
		"negative length":           "Content-Length: -2\r\n\r\nxx",
		"length with a sign":        "Content-Length: +2\r\n\r\nxx",
		"length with a space":       "Content-Length: 2 2\r\n\r\nxx",
		"hexadecimal length":        "Content-Length: 0x2\r\n\r\nxx",
		"empty length":              "Content-Length:\r\n\r\nxx",
		"huge length":               "Content-Length: 99999999999999999999\r\n\r\nxx",
		"large length":              "Content-Length: 9223372036854775807\r\n\r\nxx",
		"space before colon":        "Content-Length : 500\r\n\r\nxx",
		"no colon":                  "Content-Length\r\n\r\nxx",
		"carriage return in a line": "Content-Length: 2\r\n\rxx",
		"negative chunk":            "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n",
		"chunk without a size":      "Transfer-Encoding: chunked\r\n\r\n\r\nx\r\n0\r\n\r\n",
		"huge chunk":                "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nx\r\n0\r\n\r\n",
		"chunk without an end":      "Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n0\r\n\r\n",
		"chunk with line feeds":     "Transfer-Encoding: chunked\r\n\r\n1\nx\n0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := newCutConn("HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\n"+fields, len(fields), io.EOF)
			resp, _, err := c.roundTrip(plainDialect{}, &serverRequest{method: http.MethodGet, id: "r1"})
			require.Error(t, err, "%v", resp)
			require.True(t, c.unusable)
		})
	}
	// HTTP/1.0 has no chunks.
	for _, length := range []string{"", "Content-Length: 3\r\n"} {
		t.Run(fmt.Sprintf("chunks in HTTP/1.0 %q", length), func(t *testing.T) {
			text := "HTTP/1.0 200 OK\r\nId: r1\r\nSig: s\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n2\r\nxx\r\n0\r\n\r\n"
			c := newCutConn(text, len(text), io.EOF)
			resp, _, err := c.roundTrip(plainDialect{}, &serverRequest{method: http.MethodGet, id: "r1"})
			require.Error(t, err, "%v", resp)
		})
	}
}

// Guards against a response that is rejected although it is whole and its framing is clear.
func TestUnusualHeadsAreResponses(t *testing.T) {
	for name, text := range map[string]string{
		"name in a value":        "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nAccess-Control-Expose-Headers: Content-Length, Transfer-Encoding\r\nContent-Length: 2\r\n\r\nok",
		"folded value":           "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nX: y\r\n Z: z\r\nContent-Length: 2\r\n\r\nok",
		"same length twice":      "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"spaces around a length": "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nContent-Length: \t2 \r\n\r\nok",
		"long head of HTTP/1.0":  "HTTP/1.0 200 OK\r\nId: r1\r\nSig: s\r\nX: " + strings.Repeat("x", 2*readBufferSize) + "\r\n\r\nok",
		"encoding in a body":     "HTTP/1.0 200 OK\r\nId: r1\r\nSig: s\r\n\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, len(text)} {
				resp, _, err := newCutConn(text, piece, io.EOF).roundTrip(plainDialect{}, &serverRequest{method: http.MethodGet, id: "r1"})
				require.NoError(t, err)
				require.NotEmpty(t, resp.body)
			}
		})
	}
}
