package edge

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireNoResponse requires that the bytes are neither a response to a call nor a reply to a status check.
func requireNoResponse(t *testing.T, text string) {
	for _, piece := range []int{1, len(text)} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			c := newCutConn(text, piece, io.EOF)
			resp, wrote, err := c.roundTrip(plainDialect{}, &serverRequest{method: method, id: "r1"})
			require.True(t, wrote)
			require.Error(t, err, "%s: %v", method, resp)
			require.Nil(t, resp)
			require.True(t, c.unusable)
		}
		reply, err := newCutConn(text, piece, io.EOF).readCheck(plainDialect{})
		require.Error(t, err, "%v", reply)
	}
}

// Guards against a response with a status below 100 that is skipped like an informational one, so that its body is read as the
// response to the call, or that is taken for the reply to a status check.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20"} {
		for name, body := range map[string]string{
			"empty":    "Content-Length: 0\r\n\r\n",
			"length":   "Content-Length: 2\r\n\r\nok",
			"response": "Content-Length: 60\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nContent-Length: 5\r\n\r\nwrong",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				requireNoResponse(t, "HTTP/1.1 "+status+" Trouble\r\nId: r1\r\nSig: s\r\nServer: s1\r\n"+body)
			})
		}
	}
}
