package http1

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/pipe"
)

// call is one request with its response.
type call struct {
	c      *conn
	req    *http.Request
	cancel context.CancelCauseFunc
	w      response
	// body is the body that is read from the connection, or nil.
	body    *body
	request pipe.Request
	readAt  time.Time
	// last reports that nothing is read behind the request.
	last bool
	// fixed is the response of a call that does not reach the handler.
	fixed   string
	isFixed bool
	// headSize and fields are the size and the number of lines of the head. What they take is counted while the call is in the line.
	headSize, fields int64
	// kept is the size of a body that was read with the head.
	kept int64

	// The following are guarded by the mutex of the connection.
	held holding
	// ahead is set if the call was read before all earlier ones were answered.
	ahead bool
	// turn is closed when the call is the first in the line, or when the connection ends. It is nil if nobody waits for it.
	turn chan struct{}
	// returned is set when the handler has returned.
	returned bool
}

// add appends a call to the line and starts what may start. It returns false if the connection takes no more calls.
func (c *conn) add(x *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reader = readerRunning
	if c.closing || c.sealed {
		c.srv.metrics.Dropped.Add(1)
		c.unanswered++
		x.cancel(nil)
		return false
	}
	if !c.reserve(x) {
		c.release(x)
		c.refuse(x)
	}
	if x.ahead = len(c.calls) > 0; x.ahead {
		c.srv.metrics.ReadAhead.Add(1)
		c.srv.ahead.Add(1)
	}
	c.line.Add(x.request)
	c.calls = append(c.calls, x)
	c.idleSince = time.Time{}
	if x.body == nil {
		c.begin(x)
	}
	if x.body != nil && !x.isFixed {
		c.body = x.body
	}
	c.startCalls()
	return true
}

// refuse turns a call for which there is no memory into one that is answered without being executed.
func (c *conn) refuse(x *call) {
	x.fixed, x.isFixed, x.last, x.request.Last, x.body = unavailableResponse, true, true, true, nil
}

// startCalls starts the calls that may start. c.mu is locked.
func (c *conn) startCalls() {
	for n, ok := c.line.Start(); ok; n, ok = c.line.Start() {
		c.running++
		c.srv.workers.start(c.calls[n])
	}
}

// run serves the call and writes its response in its turn.
func (x *call) run() {
	if x.isFixed {
		if x.awaitTurn(time.Time{}) == nil {
			_ = x.c.write([]byte(x.fixed))
		}
		x.cancel(nil)
		cause := endResponse
		if x.fixed == "" {
			cause = endTimeout
		}
		x.end(cause, true)
		return
	}
	aborted := x.serve()
	x.cancel(nil)
	if x.body != nil && !x.w.encoded {
		x.body.skipArrived()
	}
	x.c.handlerReturned(x)
	if aborted {
		x.abort()
		return
	}
	closes, err := x.w.finish()
	if err != nil {
		x.abort()
		return
	}
	x.w.release()
	cause := endNone
	if closes {
		cause = endResponse
	}
	x.end(cause, false)
}

// serve calls the handler. It reports whether the handler panicked, which ends the connection.
func (x *call) serve() (aborted bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		aborted = true
		if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			x.c.srv.log.Failure("the handler of a call failed", logrus.Fields{"caller": x.c.remote, "error": cause, "stack": string(debug.Stack())})
		}
	}()
	x.c.srv.handler.ServeHTTP(&x.w, x.req)
	return false
}

// abort ends the connection in the turn of the call, so that the responses before it are not cut off.
func (x *call) abort() {
	_ = x.awaitTurn(time.Time{})
	x.w.release()
	if x.w.endsWithConnection() {
		// Without a reset the end of the connection would look like the end of the response.
		x.c.reset()
	}
	x.end(endAborted, true)
}

// handlerReturned lets the reader use the connection again.
func (c *conn) handlerReturned(x *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.returned = true
	if x.body != nil {
		c.returnBody(x.body)
	}
}

// end removes the call from the line after its response. cause is endNone unless the response ends the connection, and
// linger reports that unread bytes of the caller may follow.
func (x *call) end(cause endCause, linger bool) {
	c := x.c
	c.mu.Lock()
	c.running--
	if !c.closing && len(c.calls) > 0 && c.calls[0] == x {
		c.advance(x, cause, linger)
	}
	if x.req != nil {
		// The rest of a body that was not read may be read for a while. Only the handler uses the fields.
		x.req.Header = nil
	}
	last := c.readerDone && c.running == 0
	c.mu.Unlock()
	if last {
		c.finish()
	}
}

// advance gives the turn to the next call, or ends the connection. c.mu is locked.
func (c *conn) advance(x *call, cause endCause, linger bool) {
	c.line.Answer()
	// The array keeps no call that has ended: an idle connection would hold its head.
	c.calls = slices.Delete(c.calls, 0, 1)
	c.release(x)
	unread := x.body != nil && !x.body.complete.Load()
	if cause == endNone && c.unreadable && len(c.calls) == 0 {
		cause = endTimeout
	}
	if cause != endNone {
		c.srv.metrics.Dropped.Add(int64(c.line.Len() - c.line.Started()))
		// A caller that did not ask for the end may be sending its next request.
		c.linger = c.linger || linger || unread || !x.last || len(c.calls) > 0
		c.closeLocked(cause)
		return
	}
	if x.w.deadlineSet {
		_ = c.nc.SetWriteDeadline(time.Time{})
	}
	if len(c.calls) == 0 {
		c.idleSince = c.srv.clock.Now()
	} else if next := c.calls[0]; next.turn != nil {
		close(next.turn)
		next.turn = nil
	}
	c.startCalls()
	c.wakeReader()
}
