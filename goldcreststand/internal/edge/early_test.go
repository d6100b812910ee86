package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"goldcreststand.example/core/ident"
)

// newEarlyBackend returns a backend that responds to a call after its header with respond, and never reads the body. The
// connection ends when respond returns.
func newEarlyBackend(t *testing.T, id ident.ServerID, respond func(nc *net.TCPConn, r *http.Request)) *backend {
	b := &backend{id: id}
	b.listen(t, func(nc net.Conn) { b.serveEarly(nc.(*net.TCPConn), respond) })
	return b
}

func (b *backend) serveEarly(nc *net.TCPConn, respond func(nc *net.TCPConn, r *http.Request)) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path != "/health" {
			respond(nc, r)
			return
		}
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,4,100\r\nContent-Length: 0\r\n\r\n", fieldServer, b.id, fieldLoad)
	}
}

// respondTooLarge responds that the body is too large, and keeps the connection open.
func respondTooLarge(nc *net.TCPConn, r *http.Request) {
	_, _ = io.WriteString(nc, message(r.Header.Get(fieldRequest), http.StatusRequestEntityTooLarge, "early"))
	select {}
}
