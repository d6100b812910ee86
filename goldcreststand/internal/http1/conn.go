package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/pipe"
)

// readBufferSize is the size of the buffer that a connection reads into. Longer heads get a larger one.
const readBufferSize = 4 << 10

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
	// reader is what the goroutine of serve is doing.
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
