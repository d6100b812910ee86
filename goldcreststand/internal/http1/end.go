package http1

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/goldcreststand/internal/sock"
)

const (
	// lingerTimeout and maxLinger limit what is read after the last response. A close with unread bytes resets the
	// connection, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	maxLinger     = 1 << 20
)

// endAfterRead ends the connection after the calls that were read.
func (c *conn) endAfterRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
}

// cancelCalls ends the connection after the calls that were read, and cancels these.
func (c *conn) cancelCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	for _, x := range c.calls {
		x.cancel(ErrStopping)
	}
}

// endIfIdle ends the connection if it has been idle for longer than the limit.
func (c *conn) endIfIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleSince.IsZero() && now.Sub(c.idleSince) > limit {
		c.interruptReader(endIdle)
	}
}

// endIfSettled ends the connection if it was neither accepted nor answered within the time and no call is in the line.
func (c *conn) endIfSettled(now time.Time, settle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.accepted) >= settle && now.Sub(c.idleSince) >= settle {
		c.interruptReader(endStopping)
	}
}

// interruptReader lets the reader end the connection unless a request has arrived. No other goroutine can decide that: the
// reader may have received a request that nobody else knows of yet. c.mu is locked.
func (c *conn) interruptReader(cause endCause) {
	if c.closing || c.reader != readerAwaiting || len(c.calls) > 0 {
		return
	}
	c.pendingEnd = cause
	_ = c.nc.SetReadDeadline(sock.Past)
}

// closeLocked lets the connection take no more calls, cancels those in the line and stops the reader. c.mu is locked.
func (c *conn) closeLocked(cause endCause) {
	if c.closing {
		return
	}
	c.closing, c.cause = true, cause
	c.unanswered += len(c.calls)
	if len(c.calls) > 0 {
		c.oldest = c.calls[0].readAt
	}
	c.line.End()
	for _, x := range c.calls {
		c.release(x)
	}
	c.calls = nil
	c.cancel(cause.err())
	c.wakeReader()
	if c.linger {
		_ = c.nc.SetReadDeadline(sock.Past)
		return
	}
	_ = c.nc.Close()
}

// abandon closes the connection at once.
func (c *conn) abandon(cause endCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linger = false
	if c.closeDelimited {
		// Without a reset the end of the connection would look like the end of the response.
		c.discardUnsent()
	}
	c.closeLocked(cause)
	_ = c.nc.Close()
}

// reset makes the end of the connection look broken.
func (c *conn) reset() {
	c.discardUnsent()
	c.abandon(endAborted)
}

// discardUnsent lets the close of the connection be a reset.
func (c *conn) discardUnsent() {
	if tc, ok := c.nc.(interface{ SetLinger(sec int) error }); ok {
		_ = tc.SetLinger(0)
	}
}

// end ends the connection when the reader stops. The bytes that the caller still sends are read for a while.
func (c *conn) end() {
	c.mu.Lock()
	c.closeLocked(endAborted)
	linger := c.linger
	c.mu.Unlock()
	var discarded int64
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && linger && tc.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		discarded, _ = io.CopyN(io.Discard, c.nc, maxLinger)
	}
	_ = c.nc.Close()
	c.recordEnd(discarded)
	c.mu.Lock()
	c.readerDone = true
	last := c.running == 0
	c.mu.Unlock()
	if last {
		c.finish()
	}
}

// finish is called once, when the reader and all calls have ended.
func (c *conn) finish() {
	if c.body != nil {
		c.body.detach()
	}
	putReader(c.base)
	c.srv.remove(c)
}

// recordEnd counts and logs what the connection had received and not answered when it ended. It is called by the reader.
func (c *conn) recordEnd(discarded int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading, buffered := c.reader == readerReading, c.br.Buffered()
	if c.unanswered == 0 && !reading && buffered == 0 && discarded == 0 {
		return
	}
	c.srv.metrics.Unanswered.Add(c.cause.String(), 1)
	if c.cause == endCallerClosed {
		// The handler reports the calls of a caller that has left.
		return
	}
	f := logrus.Fields{
		"caller": c.remote, "cause": c.cause.String(), "calls": c.unanswered, "reading": reading, "buffered": buffered,
		"discarded": discarded, "announced": c.sealed || c.cause == endResponse,
	}
	if !c.oldest.IsZero() {
		f["ms"] = c.srv.clock.Since(c.oldest).Milliseconds()
	}
	c.srv.log.Failure("connection ended with requests that were not answered", f)
}
