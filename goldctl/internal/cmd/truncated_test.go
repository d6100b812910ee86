package cmd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/schema/wire"
)

// Guards against a status of an instance that breaks off and is shown as a whole one.
func TestTruncatedStatusIsAnError(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\n\r\n" + `{"addresses":["10.1.0.35:8144","10.1.0.36:8144"],"lifetime":2,"service":"inventory"}`
	for n := range len(whole) + 1 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = io.WriteString(nc, whole[:n])
				_ = nc.Close()
			}
		}))
		err := fetchJSON(t.Context(), srv.Listener.Addr().String(), "/status", new(wire.Entries))
		require.Equal(t, n == len(whole), err == nil, "after %d bytes: %v", n, err)
		srv.Close()
	}
}
