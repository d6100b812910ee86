package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a response that breaks off halfway and reaches the caller as a complete one: with a length, in chunks,
// and for a caller to whom the end of the connection is the end of the body.
func TestTruncatedResponseDoesNotLookComplete(t *testing.T) {
	for name, resp := range map[string]string{"with a length": respShort, "in chunks": respChunk} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+" "+version, func(t *testing.T) {
				inst := newInstance(t, localServiceFor(newBackend(t, always(resp))))
				nc, err := net.Dial("tcp", inst.Listener.Addr().String())
				require.NoError(t, err)
				defer func() { _ = nc.Close() }()
				_, err = fmt.Fprintf(nc, "POST /x %s\r\nHost: %s\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb", version, serviceName)
				require.NoError(t, err)
				b, err := io.ReadAll(nc)
				text := string(b)
				complete := err == nil && strings.HasPrefix(text, version+" 200") &&
					!strings.Contains(text, "Content-Length: 99") && (version == "HTTP/1.0" || strings.HasSuffix(text, "0\r\n\r\n"))
				require.False(t, complete, "%q", text)
			})
		}
	}
}
