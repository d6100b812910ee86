package fleet

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// linkWork is the time that a new connection costs a server.
const linkWork = time.Millisecond

// link is one connection that a server accepted.
type link struct {
	net.Conn
	silent atomic.Bool
	links  *links
	once   sync.Once
}

// links is a listener that counts and limits the connections of a server.
type links struct {
	net.Listener
	limit    int
	accepted atomic.Int64
	overflow atomic.Int64

	mu   sync.Mutex
	open map[*link]struct{}
}

func newLinks(l net.Listener, limit int) *links {
	return &links{Listener: l, limit: limit, open: make(map[*link]struct{})}
}

// Accept returns the next connection after the work for it. Connections beyond the limit are closed.
func (l *links) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(linkWork)
		if c, ok := l.add(nc); ok {
			return c, nil
		}
		_ = nc.Close()
	}
}

func (l *links) add(nc net.Conn) (*link, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		l.overflow.Add(1)
		return nil, false
	}
	l.accepted.Add(1)
	c := &link{Conn: nc, links: l}
	l.open[c] = struct{}{}
	return c, true
}

// silence makes all open connections go quiet for good.
func (l *links) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

// Close closes the connection and makes room for another one.
func (c *link) Close() error {
	c.once.Do(func() {
		c.links.mu.Lock()
		defer c.links.mu.Unlock()
		delete(c.links.open, c)
	})
	return c.Conn.Close()
}

// Read loses all that arrives on a silent connection.
func (c *link) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write loses all that is sent on a silent connection.
func (c *link) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// hijack takes the connection of a request from the HTTP server and reads the next request on it.
func hijack(w http.ResponseWriter) (net.Conn, *http.Request, error) {
	nc, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	req, err := http.ReadRequest(buf.Reader)
	return nc, req, err
}
