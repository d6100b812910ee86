package http1

import (
	"bytes"
	"net/http"
	"os"
	"strconv"
	"time"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/core/ident"
)

// errConnEnded is the error of calls whose connection has ended.
var errConnEnded = Error.New("connection has ended")

// awaitTurn waits until the call is the first in the line, at most until the time unless that is zero.
func (x *call) awaitTurn(until time.Time) error {
	c := x.c
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return errConnEnded
	}
	if c.calls[0] == x {
		c.mu.Unlock()
		return nil
	}
	if x.turn == nil {
		x.turn = make(chan struct{})
	}
	turn := x.turn
	c.mu.Unlock()
	var timeout <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-turn:
		return nil
	case <-c.ctx.Done():
		return errConnEnded
	case <-timeout:
		return os.ErrDeadlineExceeded
	}
}

// inTurn reports whether the call is the first in the line.
func (x *call) inTurn() bool {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	return !x.c.closing && x.c.calls[0] == x
}

// emit writes a part of the body, or holds it back until the call is the first in the line. After an error it writes nothing.
func (w *response) emit(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	var n int
	n, w.err = w.emitPart(p)
	return n, w.err
}

func (w *response) emitPart(p []byte) (int, error) {
	if w.x.req.Method == http.MethodHead {
		return len(p), nil
	}
	out := w.buffer()
	if w.chunked {
		out.Write(strconv.AppendInt(out.AvailableBuffer(), int64(len(p)), 16))
		out.WriteString("\r\n")
	}
	switch {
	case out.Len()+len(p) <= writeBufferSize, !w.inTurn() && w.hold(len(p)):
		out.Write(p)
	default:
		if err := w.x.awaitTurn(w.deadline); err != nil {
			return 0, err
		}
		w.takeTurn()
		if err := w.flush(); err != nil {
			return 0, err
		}
		if err := w.x.c.write(p); err != nil {
			return 0, err
		}
	}
	if w.chunked {
		out.WriteString("\r\n")
	}
	return len(p), nil
}

// hold reserves memory for a part that is held back.
func (w *response) hold(n int) bool {
	if w.out.Len()+n > maxPendingResponse || !w.x.reservePending(ident.Bytes(n)) {
		return false
	}
	w.pending += ident.Bytes(n)
	return true
}

// inTurn reports whether the call is the first in the line.
func (w *response) inTurn() bool {
	if !w.turned && w.x.inTurn() {
		w.takeTurn()
	}
	return w.turned
}

// takeTurn applies the deadline that the handler has set before.
func (w *response) takeTurn() {
	if !w.turned && !w.deadline.IsZero() {
		w.setConnDeadline()
	}
	w.turned = true
}

func (w *response) setConnDeadline() {
	w.deadlineSet = true
	_ = w.x.c.nc.SetWriteDeadline(w.deadline)
}

// flush writes what is ready. The call is the first in the line.
func (w *response) flush() error {
	if w.out == nil || w.out.Len() == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = true
	b := w.out.Bytes()
	if w.headEnd > 0 && !w.closes && w.x.c.endsWith(w.x) {
		// The response was encoded before it was known to be the last.
		w.closes = true
		rest := bytes.Clone(b[w.headEnd:])
		w.out.Truncate(w.headEnd)
		w.out.WriteString("Connection: close\r\n")
		w.out.Write(rest)
		b = w.out.Bytes()
	}
	w.headEnd = 0
	if w.endsAtClose() {
		w.x.c.setCloseDelimited(true)
	}
	err := w.x.c.write(b)
	w.out.Reset()
	return err
}

// setCloseDelimited notes whether a response is being written whose end is that of the connection.
func (c *conn) setCloseDelimited(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeDelimited = on
}

// endsWith reports whether the call is the last one of a connection that ends. No call is added behind it then.
func (c *conn) endsWith(x *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || len(c.calls) != 1 || c.calls[0] != x {
		return false
	}
	c.sealed = true
	return true
}

// writeContinue writes 100 Continue, unless the response has begun.
func (w *response) writeContinue() error {
	if err := w.x.awaitTurn(time.Time{}); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent {
		return nil
	}
	return w.x.c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// reservePending reserves memory for a response that is not in its turn.
func (x *call) reservePending(n ident.Bytes) bool {
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.pending+n > maxPending || !c.account.Take(budget.ItemAnswer, int64(n)) {
		return false
	}
	c.pending += n
	return true
}

// releasePending ends the use of that memory.
func (x *call) releasePending(n ident.Bytes) {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.c.pending -= n
	x.c.account.Return(budget.ItemAnswer, int64(n))
}
