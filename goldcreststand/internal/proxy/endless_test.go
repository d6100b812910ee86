package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxAcceptedBytes is more than an instance reads of a response without end: what it accepts and what the buffers of the
// operating system hold.
const maxAcceptedBytes = 16 << 20

// Guards against bytes of a faulty server that are no response and have no end, and are read until memory is used up.
func TestEndlessHead(t *testing.T) {
	for name, text := range map[string][2]string{
		"status line":   {"HTTP/1.1 200 ", "x"},
		"garbage":       {"", "\x00\x01"},
		"field":         {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"fields":        {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"chunk size":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			part := strings.Repeat(text[1], 1+4096/len(text[1]))
			b := serverFor(t, func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				for next := text[0]; err == nil; next = part {
					var n int
					n, err = io.WriteString(nc, next)
					sent.Add(int64(n))
				}
			})
			got := request(newInstance(t, localService(b)), http.MethodPost, "/pay", nil)
			if got.err == nil {
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Contains(t, got.proxy, unknown)
			}
			require.Less(t, sent.Load(), int64(maxAcceptedBytes))
		})
	}
}
