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

// newEarlyBackend returns a backend that responds to a call after its header and never reads the body.
func newEarlyBackend(t *testing.T, id ident.ServerID) *backend {
	b := &backend{id: id}
	b.listen(t, b.serveEarly)
	return b
}

func (b *backend) serveEarly(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path != "/health" {
			_, _ = io.WriteString(nc, message(r.Header.Get(fieldRequest), http.StatusRequestEntityTooLarge, "early"))
			select {}
		}
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,4,100\r\nContent-Length: 0\r\n\r\n", fieldServer, b.id, fieldLoad)
	}
}
