package http1

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/pipe"
)

const (
	// readBufferSize is the size of the buffer that a connection reads into. Longer heads get a larger one.
	readBufferSize = 4 << 10
	// closeCheckInterval is the time between two checks for a close by the caller while nothing is read: the close cannot
	// be noticed by reading then. Calls must be canceled within half a second of the close.
	closeCheckInterval = 200 * time.Millisecond
	// lingerTimeout and maxLinger limit what is read after the last response. A close with unread bytes resets the
	// connection, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	maxLinger     = 1 << 20
	// maxSettleTime and settleFraction, a fraction of the time for the shutdown, limit how long Shutdown keeps a connection open
	// after it was accepted or last answered. A request may be on its way, and closing then resets the connection, which can
	// discard a response that the caller has not read.
	maxSettleTime  = time.Second
	settleFraction = 0.25
)

// aLongTimeAgo is a deadline that ends a pending read.
var aLongTimeAgo = time.Unix(1, 0)

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

// conn is a connection of a caller. The goroutine of serve reads the requests, and each call has its own, which writes
// the response when it is the first in the line.
type conn struct {
	srv    *Server
	nc     net.Conn
	remote string
	// account counts what the connection holds.
	account Account
	// accepted is the time at which the connection was accepted.
	accepted time.Time
	// ctx ends when the caller has closed the connection, or after the last response.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// writeSince is the time since which a write has been pending, in nanoseconds since the connection was accepted, or 0. The
	// time of day may jump.
	writeSince atomic.Int64
	// wake wakes the reader when it may have something to do.
	wake chan struct{}

	// br and base belong to the reader, and br to the body that is in use. base is the buffer of the usual size.
	br, base *bufio.Reader
	// grown is the size of br that is counted, 0 if it is base.
	grown int64
	// closeCheck is the timer of pause.
	closeCheck *time.Timer
	// lastPost reports that the last request was a POST, behind which an additional CR LF is tolerated.
	lastPost bool

	mu    sync.Mutex
	line  pipe.Line
	calls []*call
	// running counts the goroutines of calls.
	running int
	// body is the body that is read from the connection at present. The reader waits for its end.
	body *body
	// closing is set once the connection has ended. No call is added then. cause is the reason, unanswered the number of calls
	// that were read and not answered, and oldest when the first of those in the line was read.
	closing    bool
	cause      endCause
	unanswered int
	oldest     time.Time
	// ending is set when the connection is to end after the calls that were read. Nothing is received ahead then.
	ending bool
	// pendingEnd is the cause for which the reader is to end the connection unless a request has arrived, or endNone.
	pendingEnd endCause
	// sealed is set once a response has said that the connection ends. No call is added then either.
	sealed bool
	// unreadable is set after a body that was not read to its end.
	unreadable bool
	// linger is set if unread bytes may follow the last response.
	linger bool
	reader readerState
	// deadlineSet is set if reads have a deadline.
	deadlineSet bool
	readerDone  bool
	// closeDelimited is set while a response is written whose end is that of the connection.
	closeDelimited bool
	// idleSince is the time since which no call is in the line; it is zero before the first call and while there is one.
	idleSince time.Time
	// pending is the size of the responses that are not in their turn.
	pending ident.Bytes
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		srv: s, nc: nc, remote: nc.RemoteAddr().String(), account: s.budget.Account(nc), accepted: s.clock.Now(),
		wake: make(chan struct{}, 1), line: *pipe.New(s.limits),
	}
	c.ctx, c.cancel = context.WithCancelCause(context.WithValue(s.ctx, http.LocalAddrContextKey, nc.LocalAddr()))
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	c.base = getReader(c.nc)
	c.br = c.base
	defer c.end()
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
		if check && peerClosed(c.nc) {
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

// resumeRead reports whether a read that failed with the error may be repeated: it was interrupted by interruptReader, and bytes have
// arrived, which a process that is short of processor time may not have read yet. The interrupt is over then.
func (c *conn) resumeRead(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingEnd == endNone || !errors.Is(err, os.ErrDeadlineExceeded) || !readable(c.nc) {
		return false
	}
	c.continueReading()
	return true
}

// continueReading lets the reader go on after interruptReader. c.mu is locked.
func (c *conn) continueReading() {
	if c.pendingEnd == endNone || c.closing {
		return
	}
	c.pendingEnd, c.deadlineSet = endNone, true
	_ = c.nc.SetReadDeadline(time.Now().Add(c.srv.headerTimeout))
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
		_ = c.nc.SetReadDeadline(aLongTimeAgo)
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

// endAfterRead ends the connection after the calls that were read.
func (c *conn) endAfterRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
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
	_ = c.nc.SetReadDeadline(aLongTimeAgo)
}

// stalledFor returns the time for which a write has been pending.
func (c *conn) stalledFor(now time.Time) time.Duration {
	since := c.writeSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(c.accepted) - time.Duration(since)
}

// write writes to the caller. A failure means that the caller has closed the connection.
func (c *conn) write(p []byte) error {
	for len(p) > 0 {
		c.writeSince.Store(max(1, int64(c.srv.clock.Now().Sub(c.accepted))))
		n, err := c.nc.Write(p[:min(len(p), maxWrite)])
		c.writeSince.Store(0)
		if err != nil {
			c.abandon(endCallerClosed)
			return err
		}
		p = p[n:]
	}
	return nil
}
