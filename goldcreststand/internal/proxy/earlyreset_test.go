package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a part of a response that reaches the caller as a whole one, because its connection was reset while the
// request's body was still being written.
func TestResetDuringUploadDoesNotLookComplete(t *testing.T) {
	// The upload is larger than the buffers of the operating system.
	const calls, uploadSize = 10, 8 << 20
	s := newInstance(t, localService(serverFor(t, respondAndReset)))
	for _, size := range []int{0, 10, 70 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for range calls {
				got := request(s, http.MethodPost, fmt.Sprintf("/x/%d", size), strings.NewReader(strings.Repeat("u", uploadSize)))
				// The caller may fail to write the rest of its body before it reads the response.
				if got.err == nil {
					require.Equal(t, http.StatusBadGateway, got.status)
					require.Contains(t, got.proxy, unknown)
				}
			}
		})
	}
}

// respondAndReset responds to the head of a request with a body without a length, whose size is the last part of the path, and
// resets the connection.
func respondAndReset(w http.ResponseWriter, r *http.Request) {
	var size int
	_, _ = fmt.Sscanf(r.URL.Path, "/x/%d", &size)
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size))
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
}
