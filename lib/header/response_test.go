package header_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/header"
)

func readResponse(t *testing.T, text string) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	require.NoError(t, err)
	return resp
}

// Guards against a head that is taken for that of a response although it is none, and against a valid one that is not.
func TestCheckResponse(t *testing.T) {
	tests := []struct {
		name, text string
		valid      bool
	}{
		{name: "ok", text: "HTTP/1.1 200 OK\r\nX: y\r\n\r\n", valid: true},
		{name: "informational", text: "HTTP/1.1 100 Continue\r\n\r\n", valid: true},
		{name: "largest status", text: "HTTP/1.1 599 X\r\n\r\n", valid: true},
		{name: "folded", text: "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n", valid: true},
		{name: "folded field", text: "HTTP/1.1 200 OK\r\nX: y\r\n Z: z\r\n\r\n", valid: true},
		{name: "framing fields in a value", text: "HTTP/1.1 200 OK\r\nVary: Content-Length, Transfer-Encoding\r\n\r\n", valid: true},
		{name: "colons in a value", text: "HTTP/1.1 200 OK\r\nX: http://a:80/ Length: 2\r\n\r\n", valid: true},
		{name: "version in a value", text: "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n", valid: true},
		{name: "status line in a value", text: "HTTP/1.1 200 OK\r\nX: yHTTP/1.1 500 Broken\r\n\r\n"},
		{name: "status line in the reason", text: "HTTP/1.1 200 OHTTP/1.1 500 Broken\r\n\r\n"},
		{name: "space in a name", text: "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n"},
		{name: "space before the colon", text: "HTTP/1.1 200 OK\r\nX : y\r\n\r\n"},
		{name: "folded length", text: "HTTP/1.1 200 OK\r\nX:\r\n\tContent-Length : 2\r\n\r\n"},
		{name: "folded length in a list", text: "HTTP/1.1 200 OK\r\nX: http://a:80/\r\n b: c\r\n content-length: 2\r\n\r\n"},
		{name: "folded encoding", text: "HTTP/1.1 200 OK\r\nX: y\r\n transfer-encoding: chunked\r\n\r\n"},
		{name: "status zero", text: "HTTP/1.1 000 X\r\n\r\n"},
		{name: "status below 100", text: "HTTP/1.1 099 X\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := header.CheckResponse(readResponse(t, tt.text))
			require.Equal(t, tt.valid, err == nil, "%v", err)
			require.Equal(t, !tt.valid, header.ErrInvalidHead.Has(err))
		})
	}
}

// closeRecorder records that it was closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// Guards against the connection of a rejected response that stays open.
func TestCheckedClosesRejectedResponse(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n"} {
		resp := readResponse(t, text)
		body := &closeRecorder{Reader: resp.Body}
		resp.Body = body
		got, err := header.Checked(resp, nil)
		require.Equal(t, body.closed, err != nil)
		require.Equal(t, err != nil, got == nil)
	}
	_, err := header.Checked(nil, io.ErrUnexpectedEOF)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
