package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refuser is a backend server that refuses the first request to a path, and writes the refusal once more when the next call
// arrives on the connection, which it executes.
type refuser struct {
	*backend
	path    string
	refusal func(id string) string
	refused atomic.Bool
	// executed counts the executed calls.
	executed atomic.Int32
}

func (b *refuser) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	refusal := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(fieldRequest)
		switch {
		case r.URL.Path == b.path && b.refused.CompareAndSwap(false, true):
			refusal = b.refusal(id)
			_, _ = io.WriteString(nc, refusal)
		case r.URL.Path == "/health":
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: s1\r\n%s: 0,0,4,100\r\nContent-Length: 0\r\n\r\n", fieldServer, fieldLoad)
		default:
			b.executed.Add(1)
			_, _ = io.WriteString(nc, refusal)
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(nc, message(id, http.StatusOK, "own "+id))
		}
	}
}

// Guards against an earlier refusal that a server writes once more on a kept connection: the next call, which the server
// executes, must not be reported as not executed, and must not be sent to another server.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	unnamed := func(string) string {
		return "HTTP/1.1 503 Busy\r\n" + fieldNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	named := func(id string) string { return message(id, http.StatusServiceUnavailable, "", fieldNotExecuted+": 1") }
	tests := []struct {
		name, path string
		refusal    func(id string) string
	}{
		{name: "of a call, without an id", path: "/unsafe/", refusal: unnamed},
		{name: "of a call", path: "/unsafe/", refusal: named},
		{name: "of a status check", path: "/health", refusal: unnamed},
		{name: "of a status check, with the server's id", path: "/health", refusal: func(string) string {
			return "HTTP/1.1 503 Busy\r\n" + fieldNotExecuted + ": 1\r\n" + fieldServer + ": s1\r\nContent-Length: 0\r\n\r\n"
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &refuser{backend: newBackend(t, "s1"), path: tt.path, refusal: tt.refusal}
			b.listen(t, b.serve)
			f := newHarness(t, b.backend)
			for served := int32(0); served == 0 || !b.refused.Load(); {
				r := f.request(http.MethodPost, "/unsafe/", nil)
				status, body, _ := f.do(r)
				if status == http.StatusOK {
					served++
					require.Equal(t, "own "+r.Header.Get(fieldRequest), body)
				} else {
					require.Equal(t, http.StatusServiceUnavailable, status)
				}
				require.Equal(t, served, b.executed.Load(), "status %d", status)
				// A server that refuses is left alone for a while.
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}
