package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second copy of a response that a server sends late, on a connection that is in use again: the next
// call must get its own response, or another server's, also when the copy names no request.
func TestLateCopyIsNotTheNextResponse(t *testing.T) {
	named := func(id string) string { return message(id, http.StatusOK, "first") }
	unnamed := func(string) string {
		return "HTTP/1.1 200 OK\r\n" + fieldSignature + ": sig\r\nContent-Length: 5\r\n\r\nfirst"
	}
	tests := []struct {
		name string
		// copy is the second copy, and delay the time after which it is sent. onCheck sends it with the reply to the next
		// status check.
		copy    func(id string) string
		delay   time.Duration
		onCheck bool
	}{
		{name: "while the connection is idle", copy: named, delay: 5 * time.Millisecond},
		{name: "while the connection is idle, without an id", copy: unnamed, delay: 5 * time.Millisecond},
		{name: "before the reply to the check", copy: named, onCheck: true},
		{name: "before the reply to the check, without an id", copy: unnamed, onCheck: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, "s1", respond(http.StatusOK, "own"))
			late := make(chan string, 1)
			b.listen(t, func(nc net.Conn) {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path != "/health" {
						_, _ = io.WriteString(nc, message(r.Header.Get(fieldRequest), http.StatusOK, "own "+r.Header.Get(fieldRequest)))
						if again := tt.copy(r.Header.Get(fieldRequest)); tt.onCheck {
							late <- again
						} else {
							time.Sleep(tt.delay)
							_, _ = io.WriteString(nc, again)
						}
						continue
					}
					text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s1\r\n%s: 0,0,4,100\r\nContent-Length: 0\r\n\r\n", fieldServer, fieldLoad)
					select {
					case again := <-late:
						text = again + text
					default:
					}
					_, _ = io.WriteString(nc, text)
				}
			})
			f := newHarness(t, b)
			for range 10 {
				r := f.request(http.MethodPost, "/unsafe/", nil)
				status, body, _ := f.do(r)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "own "+r.Header.Get(fieldRequest), body)
				time.Sleep(2 * tt.delay)
			}
		})
	}
}
