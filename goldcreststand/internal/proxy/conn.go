package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/pool"
	"goldcreststand.example/lib/header"
)

// Limits of a connection to a backend server.
const (
	maxResponseHeaderBytes = 256 << 10
	// expectContinueTimeout bounds the wait for 100 Continue before a streamed body is sent.
	expectContinueTimeout = time.Second
	// pingTimeout bounds a ping: round trips between failure domains take a few milliseconds.
	pingTimeout = 100 * time.Millisecond
	// maxDiscardedBytes is the number of bytes of a discarded response body that are read to reuse the
	// connection.
	maxDiscardedBytes = 16 << 10
)

// Errors of a connection.
var (
	errConnClosed       = errs.New("connection is closed")
	errUnsolicitedBytes = errs.New("server sent bytes without a request")
	// errConnUsedUp is returned for a second dial. net/http must not replace the connection, because it would
	// then send the request again on the new one.
	errConnUsedUp = errs.New("connection cannot be dialed again")
)

// conn is a connection to a backend server that records whether any byte of a request was written to it.
type conn struct {
	net.Conn
	id        pool.ConnID
	transport *http.Transport

	mu       sync.Mutex
	changed  *sync.Cond
	dialed   bool
	closed   bool
	reading  bool
	wrote    bool
	received bool
}

// newConn wraps an established connection. Its transport returns the connection for the first dial and fails
// any further one, because net/http would otherwise retry requests on its own.
func newConn(id pool.ConnID, nc net.Conn) *conn {
	c := &conn{Conn: nc, id: id}
	c.changed = sync.NewCond(&c.mu)
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		ExpectContinueTimeout:  expectContinueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return c
}

func (c *conn) dial(context.Context, string, string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialed || c.closed {
		return nil, errConnUsedUp
	}
	c.dialed = true
	return c, nil
}

// Write records that a byte is written before it writes. The first write of a request waits until net/http
// reads from the connection: until then net/http may hold bytes that followed the previous response and would
// use them as the response to this request.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	for !c.wrote && !c.reading && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		c.mu.Unlock()
		return 0, errConnClosed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read records that a byte was received. Bytes that arrive before a request is written, such as a second
// response to an earlier request, close the connection; they must not become the response to the next request.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	switch {
	case n > 0 && c.wrote:
		c.received = true
	case n > 0:
		n, err = 0, errUnsolicitedBytes
	}
	if err != nil {
		c.closed = true
		c.changed.Broadcast()
	}
	return n, err
}

// Close closes the connection. net/http calls it when it discards the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// resetActivity clears the record of written and received bytes, before a request and when the connection
// becomes idle.
func (c *conn) resetActivity() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote, c.received = false, false
}

// shutdown closes the connection and reports whether any byte was written and received since resetActivity. No
// byte is written afterwards.
func (c *conn) shutdown() (wrote, received bool) {
	_ = c.Close()
	c.transport.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote, c.received
}

// requestStarted reports whether a byte of a request was written since resetActivity.
func (c *conn) requestStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote
}

// roundTrip sends the request and returns the response. The head of the response is valid.
func (c *conn) roundTrip(req *http.Request) (*http.Response, error) {
	return header.Checked(c.transport.RoundTrip(req))
}

// ping verifies with a health check that the server still responds on the connection.
func (c *conn) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	c.resetActivity()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.RemoteAddr().String()+"/health", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := c.roundTrip(req)
	if err != nil {
		return false
	}
	return discardBody(resp) && !resp.Close && resp.StatusCode != http.StatusServiceUnavailable
}

// discardBody reads up to maxDiscardedBytes of the body, closes it and reports whether it was read to its end.
func discardBody(resp *http.Response) bool {
	_, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBytes)
	_ = resp.Body.Close()
	return errors.Is(err, io.EOF)
}
