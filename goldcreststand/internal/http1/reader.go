package http1

import (
	"cmp"
	"errors"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/goldcreststand/internal/sock"
	"goldcreststand.example/lib/guard"
)

// closeCheckInterval is the time between two checks for a close by the caller while nothing is read: the close cannot
// be noticed by reading then. Calls must be canceled within half a second of the close.
const closeCheckInterval = 200 * time.Millisecond

// readerState is what the reader of a connection is doing.
type readerState int

const (
	// readerRunning means that the reader is in none of the other states.
	readerRunning readerState = iota
	// readerPaused means that it waits on wake.
	readerPaused
	// readerAwaiting means that it waits for the first byte of a request. It can be interrupted then.
	readerAwaiting
	// readerReading means that it reads a request that has begun to arrive.
	readerReading
)

// serve reads requests until the connection ends. A panic ends the connection only.
func (c *conn) serve() {
	c.base = getReader(c.nc)
	c.br = c.base
	defer c.end()
	if err := guard.Call(c.read); err != nil {
		c.srv.log.Failure("reading a request failed", logrus.Fields{"caller": c.remote, "error": err.Error()})
		c.abandon(endAborted)
	}
}

// read reads requests until no further one may be read, and waits for the end of the connection.
func (c *conn) read() {
	// A caller that connects and sends nothing is treated like one that sends a part of a head.
	c.setReadDeadline(time.Now().Add(c.srv.headerTimeout))
	for c.awaitRoom() && c.awaitByte() {
		x := c.readCall()
		if x == nil || !c.add(x) {
			break
		}
		if x.body != nil && !c.awaitBody(x.body) || x.last {
			break
		}
	}
	c.watch()
}

// awaitRoom waits until the next request may be read, and lets the reader await it. It returns false if none may be read any more.
func (c *conn) awaitRoom() bool {
	for {
		c.mu.Lock()
		switch {
		case c.closing, c.sealed, c.line.Ended():
			c.mu.Unlock()
			return false
		case len(c.calls) == 0, c.line.MayRead(int(c.srv.ahead.Load())) && (!c.ending || c.hasHead()) && c.account.MayReadAhead():
			c.reader = readerAwaiting
			c.mu.Unlock()
			return true
		}
		c.pause(true)
	}
}

// hasHead reports whether the buffer contains the whole head of the next request. Such a request is answered also if the connection
// is to end.
func (c *conn) hasHead() bool {
	b, _ := c.br.Peek(c.br.Buffered())
	n, _, err := endOfHead(b, 0)
	return n > 0 || err != nil
}

// pause waits until the reader is woken. With check it finds out whether the caller has closed the connection. It unlocks
// c.mu.
func (c *conn) pause(check bool) {
	c.reader = readerPaused
	c.mu.Unlock()
	if c.closeCheck == nil {
		c.closeCheck = time.NewTimer(closeCheckInterval)
	} else {
		c.closeCheck.Reset(closeCheckInterval)
	}
	defer c.closeCheck.Stop()
	select {
	case <-c.wake:
	case <-c.closeCheck.C:
		if check && sock.PeerClosed(c.nc) {
			c.abandon(endCallerClosed)
		}
	}
	c.mu.Lock()
	c.reader = readerRunning
	c.mu.Unlock()
}

// wakeReader wakes the reader if it is paused. c.mu is locked.
func (c *conn) wakeReader() {
	if c.reader != readerPaused {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// awaitByte waits for the first byte of the next request. It returns false if the connection ends.
func (c *conn) awaitByte() bool {
	if c.br.Buffered() == 0 {
		c.shrink()
	}
	_, err := c.br.Peek(1)
	for err != nil && c.resumeRead(err) {
		_, err = c.br.Peek(1)
	}
	if err != nil {
		c.readFailed(err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader = readerReading
	c.continueReading()
	return !c.closing
}

// resumeRead reports whether a read that failed with the error may be repeated: its deadline has passed or it was interrupted by
// interruptReader, and bytes have arrived, which a process that is short of processor time may not have read yet.
func (c *conn) resumeRead(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !errors.Is(err, os.ErrDeadlineExceeded) || !sock.Readable(c.nc) {
		return false
	}
	c.extendRead()
	return true
}

// continueReading lets the reader go on after interruptReader. c.mu is locked.
func (c *conn) continueReading() {
	if c.pendingEnd != endNone && !c.closing {
		c.extendRead()
	}
}

// extendRead gives the reader the time for a head again. An interrupt is over then. c.mu is locked.
func (c *conn) extendRead() {
	c.pendingEnd, c.deadlineSet = endNone, true
	_ = c.nc.SetReadDeadline(time.Now().Add(c.srv.headerTimeout))
}

// awaitBytes waits until the buffer contains n bytes. Behind the deadline it reads what has arrived.
func (c *conn) awaitBytes(n int) error {
	_, err := c.br.Peek(n)
	if err != nil && c.resumeRead(err) {
		_, err = c.br.Peek(n)
		// The time for the head is over.
		c.setReadDeadline(sock.Past)
	}
	return err
}

// readFailed handles an error of a read that did not end a head. An error other than a timeout means that the caller
// has closed the connection.
func (c *conn) readFailed(err error) {
	switch {
	case errors.Is(err, net.ErrClosed):
		c.abandon(endBudget)
		return
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.abandon(endCallerClosed)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		c.closeLocked(cmp.Or(c.pendingEnd, endTimeout))
	}
	if !c.closing {
		_ = c.nc.SetReadDeadline(time.Time{})
	}
}

// watch waits for the end of the connection when no further request is read.
func (c *conn) watch() {
	for {
		c.mu.Lock()
		if c.closing {
			c.mu.Unlock()
			return
		}
		c.linger = c.linger || c.br.Buffered() > 0
		if c.unreadable || c.br.Buffered() == c.br.Size() {
			// After a body that ended early the calls are canceled already, and the caller may still read the response.
			c.pause(!c.unreadable || c.ctx.Err() == nil)
			continue
		}
		c.mu.Unlock()
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			c.readFailed(err)
		}
	}
}

// setReadDeadline sets the deadline of reads by the reader, unless the connection is closing.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || t.IsZero() && !c.deadlineSet {
		return
	}
	c.deadlineSet = !t.IsZero()
	_ = c.nc.SetReadDeadline(t)
}

// shrink returns to the buffer of the usual size after a long head.
func (c *conn) shrink() {
	if c.br != c.base && c.base.Buffered() == 0 {
		c.account.Return(budget.ItemHead, c.grown)
		c.br, c.grown = c.base, 0
	}
}
