package fleet

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// acceptTime is the time that a server takes to accept a connection.
const acceptTime = time.Millisecond

// connection is a connection that a server accepted.
type connection struct {
	net.Conn
	silent    atomic.Bool
	listener  *listener
	closeOnce sync.Once
}

// listener counts and limits the connections of a server.
type listener struct {
	net.Listener
	limit    int
	accepted atomic.Int64
	overflow atomic.Int64

	mu   sync.Mutex
	open map[*connection]struct{}
}

func newListener(l net.Listener, limit int) *listener {
	return &listener{Listener: l, limit: limit, open: make(map[*connection]struct{})}
}

// Accept returns the next connection after acceptTime. Connections above the limit are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(acceptTime)
		if c, ok := l.add(nc); ok {
			return c, nil
		}
		_ = nc.Close()
	}
}

func (l *listener) add(nc net.Conn) (*connection, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		l.overflow.Add(1)
		return nil, false
	}
	l.accepted.Add(1)
	c := &connection{Conn: nc, listener: l}
	l.open[c] = struct{}{}
	return c, true
}

// silence makes all open connections discard what they receive and send from now on.
func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

// Close closes the connection; it no longer counts towards the limit.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.open, c)
	})
	return c.Conn.Close()
}

// Read discards everything that arrives on a silent connection.
func (c *connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards everything that is sent on a silent connection.
func (c *connection) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// hijack takes over the connection of a request from the HTTP server and reads the next request from it.
func hijack(w http.ResponseWriter) (net.Conn, *http.Request, error) {
	nc, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	req, err := http.ReadRequest(buf.Reader)
	return nc, req, err
}
