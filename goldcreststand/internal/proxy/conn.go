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
)

// Sizes and times of a connection to a backend server.
const (
	maxResponseHeader = 256 << 10
	// continueWait is the time for which a streamed body waits for 100 Continue.
	continueWait = time.Second
	// pingTimeout bounds a ping: round trips between failure domains take a few milliseconds.
	pingTimeout = 100 * time.Millisecond
	// maxDrained is the number of bytes of a discarded body that are read to keep the connection.
	maxDrained = 16 << 10
)

// Errors of connections.
var (
	errSealed = errs.New("connection is sealed")
	errStray  = errs.New("server sent bytes that no request asked for")
	// errSpent is the error of a second dial: net/http must not replace a connection by itself,
	// because it would send the request a second time on the new one.
	errSpent = errs.New("connection has been used up")
)

// conn is one connection to a backend server. It knows whether any byte of a request was handed to it.
type conn struct {
	net.Conn
	id        pool.ConnID
	transport *http.Transport

	mu      sync.Mutex
	changed *sync.Cond
	handed  bool
	sealed  bool
	reading bool
	wrote   bool
	read    bool
}

// newConn wraps an established connection. Its transport hands out this connection once and then
// fails, so that net/http can never send a request again by itself.
func newConn(id pool.ConnID, nc net.Conn) *conn {
	c := &conn{Conn: nc, id: id}
	c.changed = sync.NewCond(&c.mu)
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		ExpectContinueTimeout:  continueWait,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return c
}

func (c *conn) dial(context.Context, string, string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handed || c.sealed {
		return nil, errSpent
	}
	c.handed = true
	return c, nil
}

// Write notes that a byte was handed to the connection before it writes. The first byte of a request
// waits until net/http waits for a response: when it does not, it still holds bytes that came after the
// end of the response before, and would take them for the response to this request.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	for !c.wrote && !c.reading && !c.sealed {
		c.changed.Wait()
	}
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read notes that a byte was received. Bytes that no request asked for, such as a second response to
// an earlier one, end the connection, so that they are not taken for the response to the next request.
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
		c.read = true
	case n > 0:
		n, err = 0, errStray
	}
	if err != nil {
		c.sealed = true
		c.changed.Broadcast()
	}
	return n, err
}

// Close closes the connection; net/http calls it when it gives the connection up.
func (c *conn) Close() error {
	c.mu.Lock()
	c.sealed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// begin starts to count for a new request, or for none while the connection is idle.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote, c.read = false, false
}

// seal closes the connection. It reports whether a byte was handed to it and whether one was received
// since begin; no byte is handed to it later.
func (c *conn) seal() (wrote, read bool) {
	_ = c.Close()
	c.transport.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote, c.read
}

// asked reports whether a byte of a request was handed to the connection since begin.
func (c *conn) asked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote
}

// ping proves that the server is alive on the connection, by the health check of its contract.
func (c *conn) ping(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	c.begin()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.RemoteAddr().String()+"/health", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return false
	}
	return drain(resp) && !resp.Close
}

// drain reads and closes a short body, and reports whether it ended.
func drain(resp *http.Response) bool {
	_, err := io.CopyN(io.Discard, resp.Body, maxDrained)
	_ = resp.Body.Close()
	return errors.Is(err, io.EOF)
}
