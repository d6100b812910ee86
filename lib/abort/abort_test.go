package abort_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/abort"
)

// Guards against a response that breaks off halfway and looks complete, for both versions of HTTP/1.
func TestResponseDoesNotLookComplete(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		abort.Response(w, r)
	}))
	defer srv.Close()
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		nc, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(nc, "GET / %s\r\nHost: a\r\n\r\n", version)
		require.NoError(t, err)
		b, err := io.ReadAll(nc)
		// A chunked body is complete only with its last chunk.
		complete := err == nil && (version == "HTTP/1.0" || len(b) > 5 && string(b[len(b)-5:]) == "0\r\n\r\n")
		require.False(t, complete, "%s: %q", version, b)
		_ = nc.Close()
	}
}
