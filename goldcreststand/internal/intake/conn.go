package intake

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/sock"
)

// Conn is a connection that counts what it makes the instance hold.
type Conn struct {
	net.Conn
	gate  *Gate
	id    budget.ConnID
	class budget.Class
	once  sync.Once

	// The gate's lock guards the fields below.

	// metering reports that received bytes belong to a head or a message that is not parsed yet, and count as they arrive. The
	// reader of calls counts them itself.
	metering bool
	// requests is the number of requests that have arrived whole and are not answered.
	requests int
	// writers is the number of writes that the other side has not taken.
	writers int
	// reading is set from the begin of a read until what it has received is counted.
	reading bool
	// interrupted is set while the reader is to close the connection unless bytes arrive.
	interrupted bool
	// readDeadline is the deadline that the reader has set, and that applies unless it is interrupted.
	readDeadline time.Time
}

// Read receives bytes. It closes the connection when there is no room for the head or the message that they belong to; nothing of
// it was passed on.
func (c *Conn) Read(p []byte) (int, error) {
	c.gate.beginRead(c)
	n, err := c.Conn.Read(p)
	for n == 0 && c.gate.resumeRead(c) {
		n, err = c.Conn.Read(p)
	}
	switch {
	case n > 0 && !c.gate.received(c, p[:n]):
		_ = c.Close()
		return 0, errNoRoom
	case n == 0 && c.gate.endRead(c):
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads. It takes effect once the reader is not interrupted any more.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// interruptReader lets the reader close the connection unless bytes arrive. The caller holds the gate's lock.
func (c *Conn) interruptReader() {
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(sock.Past)
}

// endInterrupt lets the deadline of the reader apply again. The caller holds the gate's lock.
func (c *Conn) endInterrupt() {
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// maxWrite limits the bytes of a write, after which the other side has made progress.
const maxWrite = 16 << 10

// Write sends bytes. Until the other side has taken them, the connection counts as sending.
func (c *Conn) Write(p []byte) (int, error) {
	c.gate.sending(c, 1, 0)
	sent := 0
	for {
		n, err := c.Conn.Write(p[sent:min(len(p), sent+maxWrite)])
		sent += n
		if err != nil || sent == len(p) {
			c.gate.sending(c, -1, n)
			return sent, err
		}
		c.gate.sending(c, 0, n)
	}
}

// Close closes the connection and gives back all that it held.
func (c *Conn) Close() error {
	c.once.Do(func() { c.gate.closed(c) })
	return c.Conn.Close()
}

// beginRead notes that a read begins.
func (g *Gate) beginRead(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.reading = true
}

// resumeRead reports whether a read that was interrupted may be repeated: bytes have arrived, which a process that is short of processor
// time may not have read yet.
func (g *Gate) resumeRead(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.interrupted || !sock.Readable(c.Conn) {
		return false
	}
	c.endInterrupt()
	return true
}

// endRead notes that a read has received nothing, and reports whether the reader was interrupted.
func (g *Gate) endRead(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.reading = false
	return c.interrupted
}

// received counts received bytes and reports whether there is room for them.
func (g *Gate) received(c *Conn, p []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.reading = false
	if c.interrupted {
		c.endInterrupt()
	}
	if c.requests == 0 && c.writers == 0 {
		g.budget.Enter(g.now, c.id, budget.PhaseReceiving)
	}
	g.budget.Progress(g.now, c.id, int64(len(p)))
	if !c.metering {
		return true
	}
	item := budget.ItemHead
	if c.class == budget.ClassPeers {
		item = budget.ItemMessage
	}
	ok := g.budget.Take(c.id, item, int64(len(p)))
	// A line of a head is a field. The text before the parser has seen it may also belong to a body; then it counts too much
	// until the head was parsed.
	if ok && item == budget.ItemHead {
		item = budget.ItemField
		ok = g.budget.Take(c.id, item, int64(bytes.Count(p, []byte{'\n'})))
	}
	if !ok {
		g.note(measure{action: actionRefuse, class: c.class, cause: item.String()}, c, budget.Victim{})
	}
	return ok
}

// sending notes that a write begins, by 1, or ends, by -1, and how many bytes the other side took.
func (g *Gate) sending(c *Conn, change, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.writers += change
	g.enter(c)
	g.budget.Progress(g.now, c.id, int64(n))
}

// enter sets the phase of a connection by what it is doing. The caller holds the lock.
func (g *Gate) enter(c *Conn) {
	phase := budget.PhaseIdle
	switch {
	case c.writers > 0:
		phase = budget.PhaseSending
	case c.requests > 0:
		phase = budget.PhaseWorking
	}
	g.budget.Enter(g.now, c.id, phase)
}

// MessageRead gives back the memory of a message of another instance that was decoded.
func (c *Conn) MessageRead() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Release(c.id, budget.ItemMessage)
	c.gate.budget.Enter(c.gate.now, c.id, budget.PhaseIdle)
	c.gate.signalRoom()
}

// BeginRequest counts a request of another instance that is to be handled, and reports whether there is room.
func (c *Conn) BeginRequest() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	ok := c.gate.budget.Take(c.id, budget.ItemRequest, 1)
	if !ok {
		c.gate.note(measure{action: actionRefuse, class: c.class, cause: budget.ItemRequest.String()}, c, budget.Victim{})
	}
	return ok
}

// EndRequest gives back the memory of a request of another instance.
func (c *Conn) EndRequest() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.gate.budget.Return(c.id, budget.ItemRequest, 1)
}

// CloseWrite closes the side of the connection that sends, if the connection has sides.
func (c *Conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what Close does with bytes that were not sent, if the connection allows that.
func (c *Conn) SetLinger(sec int) error {
	if x, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return x.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// SyscallConn returns the connection of the operating system, if there is one.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if x, ok := c.Conn.(syscall.Conn); ok {
		return x.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
