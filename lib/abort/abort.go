// Package abort ends responses that cannot be completed, so that no caller takes them for complete.
package abort

import (
	"net"
	"net/http"
)

// Response ends the response and its connection. It panics with http.ErrAbortHandler, for net/http. For a caller that
// speaks HTTP/1.0 the end of the connection is also the end of the body; such a connection is reset.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tc, ok := nc.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			_ = nc.Close()
		}
	}
	panic(http.ErrAbortHandler)
}
