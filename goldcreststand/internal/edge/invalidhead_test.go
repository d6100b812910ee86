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
			require.Error(t, err, "%s, %q: %v", method, text, resp)
			require.Nil(t, resp)
			require.True(t, c.unusable)
		}
		reply, err := newCutConn(text, piece, io.EOF).readCheck(plainDialect{})
		require.Error(t, err, "%q: %v", text, reply)
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

// invalidFields returns fields whose name has a blank or a control byte, by what is wrong, and the body that follows them.
func invalidFields() map[string]string {
	const length = "Content-Length: 2\r\n"
	return map[string]string{
		"space":                  "X Y: z\r\n" + length + "\r\nok",
		"space before colon":     "X : z\r\n" + length + "\r\nok",
		"tab":                    "X\tY: z\r\n" + length + "\r\nok",
		"tab before colon":       "X\t: z\r\n" + length + "\r\nok",
		"control byte":           "X\x01Y: z\r\n" + length + "\r\nok",
		"null":                   "X\x00: z\r\n" + length + "\r\nok",
		"carriage return":        "X\rY: z\r\n" + length + "\r\nok",
		"delete":                 "X\x7f: z\r\n" + length + "\r\nok",
		"length with a space":    "Content Length: 2\r\n\r\nok and more",
		"length, space at end":   "Content-Length : 2\r\n\r\nok and more",
		"length, control byte":   "Content-Length\x02: 2\r\n\r\nok and more",
		"length, space at start": "X: y\r\n Content-Length: 2\r\n\r\nok and more",
		"length, tab at start":   "X: y\r\n\tContent-length : 2\r\n\r\nok and more",
		"chunks, space at end":   "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks, space at start": "X: y\r\n Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks, space inside":   "Transfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
}

// Guards against a field with an invalid name that reaches the caller, or that net/http does not apply although it tells the
// end of the body.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for name, fields := range invalidFields() {
		t.Run(name, func(t *testing.T) {
			requireNoResponse(t, "HTTP/1.1 200 OK\r\nId: r1\r\nSig: s\r\nServer: s1\r\n"+fields)
			requireNoResponse(t, "HTTP/1.1 103 Early\r\n"+fields[:len(fields)-len("ok")])
		})
	}
}
