package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"goldcreststand.example/goldcreststand/internal/sock"
)

const (
	// maxDrain is the largest rest of a body that is read so that the connection can be used again.
	maxDrain = 256 << 10
	// drainTimeout limits the time for this.
	drainTimeout = 5 * time.Second
	// maxTrailer limits the size of the trailer section of a body.
	maxTrailer = readBufferSize
)

var (
	errTrailer        = Error.New("invalid trailer")
	errTrailerTooLong = Error.New("trailer is too large")
)

// body is the body of a request that is read from the connection. While it is not read to its end, the reader of the
// connection waits.
type body struct {
	c *conn
	x *call
	// src is the connection's buffer, or the decoder of chunks on it.
	src io.Reader
	// expects reports that the caller waits for 100 Continue.
	expects bool

	// left is the number of bytes left, or -1 if the length is unknown.
	left atomic.Int64
	// complete is set at the end of the body, failed after an error, and started with the first read.
	complete, failed, started atomic.Bool

	mu       sync.Mutex
	err      error
	detached bool
}

// memoryBody is a body that has arrived with its head.
type memoryBody struct{ bytes.Reader }

var _ io.ReadCloser = (*memoryBody)(nil)

// Close does nothing.
func (*memoryBody) Close() error { return nil }

// Read reads from the connection.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.detached:
		return 0, http.ErrBodyReadAfterClose
	case b.err != nil:
		return 0, b.err
	case len(p) == 0:
		return 0, nil
	}
	if !b.started.Swap(true) && b.expects {
		if err := b.x.w.writeContinue(); err != nil {
			return 0, b.fail(err)
		}
	}
	return b.read(p)
}

// read reads the next bytes. b.mu is locked.
func (b *body) read(p []byte) (int, error) {
	left := b.left.Load()
	if left >= 0 {
		p = p[:min(int64(len(p)), left)]
	}
	n, err := b.src.Read(p)
	if left >= 0 {
		left = b.left.Add(-int64(n))
	}
	switch {
	case left == 0, left < 0 && errors.Is(err, io.EOF):
		return n, b.end()
	case errors.Is(err, io.EOF):
		return n, b.fail(io.ErrUnexpectedEOF)
	case err != nil:
		return n, b.fail(err)
	}
	return n, nil
}

// end reads the trailer of a chunked body, and gives the connection back to its reader. It returns io.EOF.
func (b *body) end() error {
	if b.left.Load() < 0 {
		if err := b.readTrailer(); err != nil {
			return b.fail(err)
		}
	}
	b.err = io.EOF
	b.complete.Store(true)
	b.c.bodyEnded(b)
	return io.EOF
}

// fail records an error, after which nothing is read from the connection. An error of the connection other than a timeout
// means that the caller has left.
func (b *body) fail(err error) error {
	b.err = err
	b.failed.Store(true)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		b.c.bodyFailed(err)
	}
	b.c.bodyEnded(b)
	return err
}

// readTrailer reads the fields after the last chunk. Each line must end with CR LF, as in a head.
func (b *body) readTrailer() error {
	br := b.c.br
	for from := 0; ; {
		buf, _ := br.Peek(br.Buffered())
		if len(buf) >= 2 && buf[0] == '\r' && buf[1] == '\n' {
			_, _ = br.Discard(2)
			return nil
		}
		n, next, err := endOfHead(buf, from)
		switch {
		case err != nil:
			return err
		case n > 0:
			return b.parseTrailer(br, n)
		case len(buf) >= maxTrailer || len(buf) == br.Size():
			return errTrailerTooLong
		}
		from = next
		if _, err := br.Peek(len(buf) + 1); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

// parseTrailer reads the trailer, whose length is n, into the fields that the request has announced.
func (b *body) parseTrailer(br *bufio.Reader, n int) error {
	raw, err := br.Peek(n)
	if err != nil {
		return err
	}
	if err := checkTrailer(raw); err != nil {
		return errTrailer
	}
	h, err := textproto.NewReader(br).ReadMIMEHeader()
	if err != nil {
		return Error.Wrap(err)
	}
	for k, v := range h {
		if _, ok := b.x.req.Trailer[k]; ok {
			b.x.req.Trailer[k] = v
		}
	}
	return nil
}

// checkTrailer returns an error if the trailer has an invalid line, or a field that delimits a message.
func checkTrailer(raw []byte) error {
	var f headFields
	if err := f.read(raw); err != nil {
		return err
	}
	if f.lengths+f.codings+f.hosts > 0 {
		return errTrailer
	}
	return nil
}

// Close ends reads by the handler.
func (b *body) Close() error {
	b.detach()
	return nil
}

// detach ends reads by the handler. It waits for one that is pending.
func (b *body) detach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
}

// mustClose reports whether the connection has to close after the response, because the rest of the body is not read.
func (b *body) mustClose(status int) bool {
	if b.complete.Load() {
		return false
	}
	left := b.left.Load()
	return b.failed.Load() || b.expects && !b.started.Load() || left < 0 || left > maxDrain || status == http.StatusRequestEntityTooLarge
}

// drain reads the rest of the body after its call has ended. It returns false if the next request cannot be read.
func (b *body) drain() bool {
	b.detach()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.skip()
	return b.complete.Load()
}

// skipArrived skips the rest of a body of unknown length that the handler has not read, as far as it has arrived. If that is
// all of it, the connection need not close after the response.
func (b *body) skipArrived() {
	if b.left.Load() >= 0 || b.expects && !b.started.Load() || !b.mu.TryLock() {
		return
	}
	defer b.mu.Unlock()
	if b.err != nil || b.c.setBodyDeadline(b, sock.Past) != nil {
		return
	}
	b.skip()
}

// skip reads the rest of the body up to a limit. b.mu is locked.
func (b *body) skip() {
	// A small buffer: many connections may wait for the rest of a body.
	var buf [1 << 10]byte
	for size := 0; b.err == nil && size <= maxDrain; {
		n, _ := b.read(buf[:])
		size += n
	}
}

// awaitBody waits until the body was read to its end, by the handler or after it. It returns false if the next request
// cannot be read.
func (c *conn) awaitBody(b *body) bool {
	c.mu.Lock()
	for !c.closing && c.body == b && !b.x.returned {
		c.pause(true)
		c.mu.Lock()
	}
	unread := !c.closing && c.body == b
	c.mu.Unlock()
	if unread {
		b.drain()
	}
	if !b.complete.Load() {
		// The deadline of a pending read has passed, or the connection is closed.
		b.detach()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = nil
	if c.closing {
		return false
	}
	if c.deadlineSet {
		c.deadlineSet = false
		_ = c.nc.SetReadDeadline(time.Time{})
	}
	if b.complete.Load() {
		return true
	}
	c.ending, c.linger, c.unreadable = true, true, true
	if len(c.calls) == 0 {
		c.closeLocked(endTimeout)
	}
	return false
}

// bodyEnded gives the connection back to its reader.
func (c *conn) bodyEnded(b *body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body == b {
		c.body = nil
		c.wakeReader()
	}
}

// returnBody lets the reader read what the handler has left of a body. c.mu is locked.
func (c *conn) returnBody(b *body) {
	if c.closing || c.body != b {
		return
	}
	c.deadlineSet = true
	_ = c.nc.SetReadDeadline(time.Now().Add(drainTimeout))
	c.wakeReader()
}

// bodyFailed cancels all calls if the caller has closed the connection. The handler may still respond, because a caller
// that has closed only its own side reads the response.
func (c *conn) bodyFailed(err error) {
	var oe *net.OpError
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &oe) {
		c.cancel(endCallerClosed.err())
	}
}

// setBodyDeadline sets the deadline of reads of the body, if it is being read.
func (c *conn) setBodyDeadline(b *body, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b == nil || c.body != b || c.closing {
		return nil
	}
	c.deadlineSet = true
	return c.nc.SetReadDeadline(t)
}
