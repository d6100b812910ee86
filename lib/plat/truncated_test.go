package plat_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// newRawClient returns a client of a platform that replies with the bytes to each request and closes the connection.
func newRawClient(t *testing.T, reply string) *plat.Client {
	return newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(nc, reply)
			_ = nc.Close()
		}
	})
}

// Guards against a reply of the platform that breaks off, in its head or its body, and is taken for a whole one: a list would
// remove the servers that it lacks.
func TestTruncatedReplyIsNotUsed(t *testing.T) {
	const body = `{"service":"inventory","revision":7,"servers":[
		{"id":"s1","address":"10.0.0.1:80","domain":"a","version":"v1","slots":4,"connections":8,"incarnation":1,"leaving":false},
		{"id":"s2","address":"10.0.0.2:80","domain":"a","version":"v1","slots":4,"connections":8,"incarnation":1,"leaving":false}]}`
	for name, whole := range map[string]string{
		"with a length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked":        fmt.Sprintf("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"without length": "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n" + body,
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\nETag: \"7\"\r\n\r\n" + body,
		"not modified":   "HTTP/1.1 304 Not Modified\r\nETag: \"7\"\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			// Each byte would take a connection; bytes at the start and the end of the body are among these.
			for n := len(whole); n >= 0; n -= 5 {
				l := new(wire.Listing)
				tag, changed, err := newRawClient(t, whole[:n]).Watch(t.Context(), plat.ServerListPath("inventory"), `"7"`, 0, l)
				if n < len(whole) {
					require.Error(t, err, "after %d bytes: %q", n, whole[:n])
					require.False(t, changed)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, plat.Tag(`"7"`), tag)
				require.Equal(t, changed, len(l.Servers) == 2)
			}
		})
	}
}

// Guards against a write that counts as executed although the head of its reply broke off.
func TestTruncatedReplyToWriteIsUnknown(t *testing.T) {
	const whole = "HTTP/1.1 201 Created\r\nETag: \"7\"\r\nContent-Length: 0\r\n\r\n"
	for n := range len(whole) + 1 {
		_, err := newRawClient(t, whole[:n]).Put(t.Context(), plat.ObjectPath(plat.CollectionTables, "a"), "", &wire.Table{})
		require.Equal(t, n == len(whole), err == nil, "after %d bytes: %v", n, err)
		require.Equal(t, n < len(whole), plat.ErrUnknownOutcome.Has(err))
	}
}
