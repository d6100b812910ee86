package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
)

// uploadSize is more than the buffers of the operating system hold, so that the upload is still being written when the
// response arrives.
const uploadSize = 8 << 20

// respondAndEnd returns a function that responds with a body without a length, and then ends the connection while the rest of
// the request is still being written.
func respondAndEnd(body string, end func(nc *net.TCPConn)) func(nc *net.TCPConn, r *http.Request) {
	return func(nc *net.TCPConn, r *http.Request) {
		head := strings.ReplaceAll(signedHead, "{id}", r.Header.Get(fieldRequest))
		if _, err := io.WriteString(nc, head+"\r\n"+body); err == nil {
			end(nc)
		}
	}
}

// upload sends a call with a long body, and returns its status and body or the error of reading the response.
func (f *harness) upload() (status int, body string, err error) {
	f.snap.Config.Limits.MaxBody = ident.Bytes(2 * uploadSize)
	f.setTimeout(20 * time.Second)
	resp, err := f.caller.Do(f.request(http.MethodPost, "/unsafe/", strings.NewReader(strings.Repeat("u", uploadSize))))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a part of a response that reaches the caller as a whole one. The operating system reports a reset once; when
// the write of the upload got it, the reader of the body got the end of the connection.
func TestResetDuringUploadDoesNotLookComplete(t *testing.T) {
	const calls = 10
	for _, size := range []int{0, 10, 70 << 10, 2 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newHarness(t, newEarlyBackend(t, "s1", respondAndEnd(strings.Repeat("x", size), func(nc *net.TCPConn) { _ = nc.SetLinger(0) })))
			complete := 0
			for range calls {
				if status, _, err := f.upload(); err == nil && status == http.StatusOK {
					complete++
				}
			}
			require.Zero(t, complete, "of %d responses", calls)
		})
	}
}

// Guards against a whole response that is given up because its server reads no more of the upload after it. Of a long body
// the reset that follows at once would discard a part.
func TestWholeResponseDuringUploadIsReturned(t *testing.T) {
	sizes := []int{0, 10, 70 << 10, 2 << 20}
	for _, tt := range []struct {
		name  string
		sizes []int
		pause time.Duration
	}{
		{name: "upload is not read", sizes: sizes, pause: 100 * time.Millisecond},
		{name: "reset after the end", sizes: sizes[:2]},
	} {
		for _, size := range tt.sizes {
			t.Run(fmt.Sprintf("%s %d", tt.name, size), func(t *testing.T) {
				f := newHarness(t, newEarlyBackend(t, "s1", respondAndEnd(strings.Repeat("x", size), func(nc *net.TCPConn) {
					_ = nc.CloseWrite()
					time.Sleep(tt.pause)
				})))
				for range 5 {
					status, body, err := f.upload()
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, size, len(body))
				}
			})
		}
	}
}
