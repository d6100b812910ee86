package edge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ending is how a server ends a connection on which it has sent a part of a response.
type ending int

const (
	endClosed ending = iota
	endReset
	endSilent
)

func (e ending) String() string { return [...]string{"closed", "reset", "silent"}[e] }

// breakOff replies with as many bytes of the text as the last part of the path says, and ends the connection. It counts the
// requests by their ids.
type breakOff struct {
	text string
	end  ending

	mu    sync.Mutex
	calls map[string]int
}

func (b *breakOff) reply(w io.Writer, r *http.Request, _ []byte) bool {
	id := r.Header.Get(fieldRequest)
	b.mu.Lock()
	b.calls[id]++
	b.mu.Unlock()
	n, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	text := strings.ReplaceAll(b.text, "{id}", id)
	_, _ = io.WriteString(w, text[:min(n, len(text))])
	switch b.end {
	case endReset:
		_ = w.(*net.TCPConn).SetLinger(0)
	case endSilent:
		return true
	case endClosed:
	}
	return false
}

func (b *breakOff) sends(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[id]
}

// keptConn is a connection of a caller, which sends one request after the other.
type keptConn struct {
	f  *harness
	nc net.Conn
	br *bufio.Reader
	n  int
}

// do sends a request and returns its id, and its response or the error of reading it. The connection is opened anew after
// an error, and when the response says that it ends.
func (c *keptConn) do(method, path string) (id string, status int, body string, h http.Header, err error) {
	if c.nc == nil {
		c.nc, err = net.Dial("tcp", c.f.srv.Listener.Addr().String())
		require.NoError(c.f.t, err)
		require.NoError(c.f.t, c.nc.SetDeadline(time.Now().Add(time.Minute)))
		c.br = bufio.NewReader(c.nc)
	}
	c.n++
	// An id is as long as its place in the texts of the responses.
	id = fmt.Sprintf("%04x", c.n)
	_, err = fmt.Fprintf(c.nc, "%s %s HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: %d\r\n\r\n", method, path, fieldRequest, id,
		fieldTimeout, c.f.timeout.Milliseconds())
	require.NoError(c.f.t, err)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		status, body, h = resp.StatusCode, string(b), resp.Header
	}
	if err == nil {
		require.Zero(c.f.t, c.br.Buffered(), "bytes follow the response")
	}
	if err != nil || resp.Close {
		c.close()
	}
	return id, status, body, h, err
}

func (c *keptConn) close() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// doSent repeats the request until a server has received it.
func (c *keptConn) doSent(b *breakOff, method, path string) (id string, status int, body string, h http.Header, err error) {
	for range 200 {
		id, status, body, h, err = c.do(method, path)
		if b.sends(id) > 0 {
			return id, status, body, h, err
		}
		require.NoError(c.f.t, err)
		require.Equal(c.f.t, http.StatusServiceUnavailable, status)
		time.Sleep(5 * time.Millisecond)
	}
	require.FailNow(c.f.t, "no server received the request")
	return id, status, body, h, err
}

// brokenOffResponses returns whole responses to a call, by how the end of the body is told.
func brokenOffResponses() map[string]string {
	return map[string]string{
		"length":        signedHead + "Content-Length: 12\r\n\r\nhello, world",
		"chunks":        signedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\nT: x\r\n\r\n",
		"no length":     signedHead + "\r\n",
		"HTTP/1.0":      strings.Replace(signedHead, "1.1", "1.0", 1) + "\r\n",
		"informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + signedHead + "Content-Length: 0\r\n\r\n",
		"204":           strings.Replace(signedHead, "200 OK", "204 No Content", 1) + "\r\n",
		"304":           strings.Replace(signedHead, "200 OK", "304 Not Modified", 1) + "\r\n",
		"302":           strings.Replace(signedHead, "200 OK", "302 Found", 1) + "Location: /\r\nContent-Length: 0\r\n\r\n",
		"500":           strings.Replace(signedHead, "200 OK", "500 Broken", 1) + "Content-Length: 3\r\n\r\nbad",
		"refusal":       "HTTP/1.1 503 Busy\r\n" + fieldRequest + ": {id}\r\n" + fieldNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
		"line feeds":    strings.ReplaceAll(signedHead, "\r", "") + "Content-Length: 2\n\nok",
	}
}

// cuts returns the numbers of bytes after which a response of the size breaks off. A connection that is not reset keeps a port
// in use for a minute, so that only every fourth byte has one; TestTruncatedResponseIsNoResponse has each, without ports.
func cuts(size int, end ending) []int {
	step := 4
	if end == endReset {
		step = 1
	}
	out := []int{size - 1}
	for n := 0; n < size-1; n += step {
		out = append(out, n)
	}
	return out
}

// finalHeadSize returns the size of the head of the final response, with the informational ones before it.
func finalHeadSize(text string) int {
	id := strings.Index(text, "{id}")
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if i := strings.Index(text[id:], end); i >= 0 {
			return id + i + len(end)
		}
	}
	return len(text)
}

// Guards against a response that breaks off at any byte and reaches the caller as another one than 502, 504 or a broken
// connection, against a second execution of a call that is not idempotent, and against a kept connection on which the next
// call gets a wrong response.
func TestCallersGetNoTruncatedResponse(t *testing.T) {
	const whole = 1 << 20
	for name, text := range brokenOffResponses() {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			for _, end := range []ending{endClosed, endReset} {
				t.Run(fmt.Sprintf("%s %s %s", name, method, end), func(t *testing.T) {
					b := &breakOff{text: text, end: end, calls: make(map[string]int)}
					f := newHarness(t, newBackend(t, "s1", b.reply), newBackend(t, "s2", b.reply))
					f.setTimeout(10 * time.Second)
					caller := &keptConn{f: f}
					defer caller.close()
					size := len(text)
					if method == http.MethodHead {
						size = finalHeadSize(text)
					}
					for _, n := range cuts(size, end) {
						id, status, _, h, err := caller.doSent(b, method, "/unsafe/"+strconv.Itoa(n))
						require.NoError(t, err)
						require.Equal(t, http.StatusBadGateway, status, "%d bytes: %q", n, text[:n])
						require.Empty(t, h.Get(fieldSignature))
						require.Equal(t, 1, b.sends(id))
					}
					for _, n := range []int{0, 7, size / 3, size / 2, size - 1} {
						id, status, _, _, err := caller.doSent(b, method, "/safe/"+strconv.Itoa(n))
						require.NoError(t, err)
						require.Equal(t, http.StatusBadGateway, status)
						require.Equal(t, 2, b.sends(id))
					}
					if end == endReset {
						return
					}
					_, status, _, _, err := caller.doSent(b, method, "/unsafe/"+strconv.Itoa(whole))
					require.NoError(t, err)
					require.NotEqual(t, http.StatusBadGateway, status)
				})
			}
		}
	}
}

// Guards against a server that stops in its response and stays silent: its call must end with 504 at the deadline, without a
// second execution.
func TestSilenceInResponseEndsAtDeadline(t *testing.T) {
	const callers = 32
	for _, name := range []string{"length", "chunks", "no length", "informational"} {
		t.Run(name, func(t *testing.T) {
			text := brokenOffResponses()[name]
			b := &breakOff{text: text, end: endSilent, calls: make(map[string]int)}
			f := newHarness(t, newBackend(t, "s1", b.reply))
			f.setTimeout(200 * time.Millisecond)
			f.svc.Stable.Local[0].MaxConns = 4 * callers
			type result struct {
				n, status, sends int
				err              error
			}
			results := make(chan result, len(text))
			next := make(chan int)
			for k := range callers {
				c := &keptConn{f: f, n: 0x200 * k}
				go func() {
					defer c.close()
					for n := range next {
						id, status, _, _, err := c.doSent(b, http.MethodPost, "/unsafe/"+strconv.Itoa(n))
						results <- result{n, status, b.sends(id), err}
					}
				}()
			}
			go func() {
				defer close(next)
				for _, n := range cuts(len(text), endSilent) {
					next <- n
				}
			}()
			for range cuts(len(text), endSilent) {
				r := <-results
				require.NoError(t, r.err)
				require.Equal(t, http.StatusGatewayTimeout, r.status, "%d bytes: %q", r.n, text[:r.n])
				require.Equal(t, 1, r.sends)
			}
		})
	}
}

// Guards against a long response that breaks off where its parts are buffered or streamed, and that looks complete.
func TestTruncatedLongResponseDoesNotLookComplete(t *testing.T) {
	const small, buffered = 64 << 10, 1 << 20
	for _, size := range []int{small - 1, small, small + 1, buffered, buffered + 1, 2 << 20} {
		body := strings.Repeat("x", size)
		chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n", size, body)
		for name, text := range map[string]string{
			"length":  signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body[1:]),
			"chunk":   signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked[:len(chunked)-5],
			"last":    signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked[:len(chunked)-3],
			"trailer": signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked + "T: x\r\n",
			"end":     signedHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked + "\r",
		} {
			for _, end := range []ending{endClosed, endReset} {
				t.Run(fmt.Sprintf("%d %s %s", size, name, end), func(t *testing.T) {
					b := &breakOff{text: text, end: end, calls: make(map[string]int)}
					f := newHarness(t, newBackend(t, "s1", b.reply))
					f.setTimeout(20 * time.Second)
					caller := &keptConn{f: f}
					defer caller.close()
					id, status, _, _, err := caller.doSent(b, http.MethodPost, "/unsafe/"+strconv.Itoa(len(text)))
					require.Equal(t, 1, b.sends(id))
					if err == nil {
						require.Equal(t, http.StatusBadGateway, status)
					} else {
						require.False(t, errors.Is(err, os.ErrDeadlineExceeded))
					}
				})
			}
		}
	}
}

// Guards against a body without a length that looks complete although its connection was reset.
func TestResetBodyDoesNotLookComplete(t *testing.T) {
	for _, size := range []int{0, 10, 70 << 10, 2 << 20} {
		text := signedHead + "\r\n" + strings.Repeat("x", size)
		b := &breakOff{text: text, end: endReset, calls: make(map[string]int)}
		f := newHarness(t, newBackend(t, "s1", b.reply))
		f.setTimeout(20 * time.Second)
		caller := &keptConn{f: f}
		_, status, _, _, err := caller.doSent(b, http.MethodPost, "/unsafe/"+strconv.Itoa(len(text)))
		caller.close()
		require.True(t, err != nil || status == http.StatusBadGateway, "size %d: status %d", size, status)
	}
}

// Guards against pipelined calls that get the response of another call, or none, because a server broke off before.
func TestPipelinedCallsBehindTruncatedResponses(t *testing.T) {
	text := brokenOffResponses()["length"]
	b := newBackend(t, "s1", func(w io.Writer, r *http.Request, in []byte) bool {
		if n, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]); err == nil {
			_, _ = io.WriteString(w, strings.ReplaceAll(text, "{id}", r.Header.Get(fieldRequest))[:n])
			return false
		}
		return respond(http.StatusOK, r.URL.Path)(w, r, in)
	})
	f := newHarness(t, b)
	f.setTimeout(20 * time.Second)
	for n := 0; n < len(text)-4; n += 7 {
		p := newPipeline(f)
		cut := strconv.Itoa(n)
		paths := []string{"/safe/a", "/safe/" + cut, "/unsafe/" + cut, "/safe/b", "/unsafe/c", "/safe/" + cut, "/unsafe/d"}
		p.get(paths...)
		for i, path := range paths {
			resp, body := p.next()
			switch {
			case strings.HasSuffix(path, cut):
				require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, resp.StatusCode)
				require.Empty(t, resp.Header.Get(fieldSignature))
			case resp.StatusCode == http.StatusOK:
				require.Equal(t, path, body)
				require.Equal(t, fmt.Sprintf("p%d", i), resp.Header.Get(fieldRequest))
			default:
				// Not sent, because the server was busy.
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			}
		}
		_ = p.Close()
	}
}

// Guards against a call on a connection on which the reply to the status check broke off, and against a response to the
// call that is made of the rest of that reply.
func TestTruncatedCheckReplyEndsItsConnection(t *testing.T) {
	check := "HTTP/1.1 200 OK\r\n" + fieldServer + ": s1\r\n" + fieldLoad + ": 0,0,4,100\r\nContent-Length: 0\r\n\r\n"
	for _, end := range []ending{endClosed, endReset, endSilent} {
		t.Run(end.String(), func(t *testing.T) {
			bad := newBackend(t, "s1", respond(http.StatusOK, "bad"))
			cuts := make(chan int, 1)
			bad.listen(t, func(nc net.Conn) {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if r.URL.Path != "/health" {
					bad.nextReply(r, nil)(nc, r, nil)
					return
				}
				n := <-cuts
				cuts <- n
				_, _ = io.WriteString(nc, check[:n])
				switch end {
				case endReset:
					_ = nc.(*net.TCPConn).SetLinger(0)
				case endSilent:
					// The rest arrives late, and a call that follows is answered.
					time.Sleep(50 * time.Millisecond)
					_, _ = io.WriteString(nc, check[n:])
					if r, err := http.ReadRequest(br); err == nil {
						bad.nextReply(r, nil)(nc, r, nil)
					}
				case endClosed:
				}
			})
			f := newHarness(t, bad, newBackend(t, "s2", respond(http.StatusOK, "ok")))
			f.setTimeout(10 * time.Second)
			cuts <- 0
			for n := range len(check) {
				<-cuts
				cuts <- n
				status, body, _ := f.do(f.request(http.MethodPost, "/unsafe/", nil))
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "ok", body, "%d bytes: %q", n, check[:n])
			}
			require.Zero(t, bad.count())
		})
	}
}
