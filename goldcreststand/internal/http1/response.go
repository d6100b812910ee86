package http1

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// maxPrefix is the size of a body up to which it is gathered to find out its length, as by net/http.
	maxPrefix = 2 << 10
	// maxPending limits the size of the responses of a connection that are not in their turn.
	maxPending ident.Bytes = 256 << 10
	// maxPendingResponse limits that of one of them. A handler that writes more waits for its turn.
	maxPendingResponse = 64 << 10
)

// response is the http.ResponseWriter of a call. What is written before the call is the first in the line is held back.
type response struct {
	x      *call
	header http.Header
	status int
	// snapshot is a copy of the header, made when the handler uses it after WriteHeader.
	snapshot http.Header
	// declared is the Content-Length of the handler, or -1; written is the size of what it wrote.
	declared, written int64
	wroteHeader       bool
	// encoded is set when the head was encoded, chunked and closes as it says, and returned when the handler has returned.
	encoded, chunked, closes, returned bool
	trailers                           []string
	// prefix holds the body before the head is encoded, out what is ready to be written.
	prefix, out *bytes.Buffer
	// headEnd is the position in out at which a field can be added.
	headEnd int
	// err is the error of a write after which the response is incomplete, also if the handler ignores it.
	err error
	// pending is the memory reserved for out.
	pending ident.Bytes

	deadline    time.Time
	deadlineSet bool
	// turned is set once the call was the first in the line.
	turned bool

	// mu orders 100 Continue before the response. sent is set once a part of the response was written.
	mu   sync.Mutex
	sent bool
}

var (
	_ http.ResponseWriter = (*response)(nil)
	_ io.StringWriter     = (*response)(nil)
	_ io.ReaderFrom       = (*response)(nil)
)

func (w *response) init(x *call) {
	w.x, w.declared = x, -1
	w.header = make(http.Header)
}

// Age returns the time since the head of the request was read.
func (w *response) Age() time.Duration { return w.x.c.srv.clock.Since(w.x.readAt) }

// AwaitTurn waits until all calls before this one are answered. It fails at the end of the connection, and at the time
// unless that is zero.
func (w *response) AwaitTurn(until time.Time) error { return w.x.awaitTurn(until) }

// CloseAfterRead ends the connection after the calls that were read. The last response says so.
func (w *response) CloseAfterRead() { w.x.c.endAfterRead() }

// Header returns the header of the response.
func (w *response) Header() http.Header {
	if w.wroteHeader && !w.encoded && w.snapshot == nil {
		w.snapshot = w.header.Clone()
	}
	return w.header
}

// WriteHeader sets the status. An informational response is sent at once.
func (w *response) WriteHeader(status int) {
	switch {
	case status < 100 || status > 999:
		panic("http1: invalid status " + strconv.Itoa(status))
	case w.wroteHeader:
		return
	case status < 200 && status != http.StatusSwitchingProtocols:
		w.writeInformational(status)
		return
	}
	w.wroteHeader, w.status = true, status
	if cl := w.header.Get("Content-Length"); cl != "" {
		n, err := strconv.ParseInt(cl, 10, 64)
		if err != nil || n < 0 {
			w.header.Del("Content-Length")
			return
		}
		w.declared = n
	}
}

// writeInformational writes a response with a status below 200.
func (w *response) writeInformational(status int) {
	if !w.x.req.ProtoAtLeast(1, 1) || status == http.StatusContinue {
		return
	}
	writeStatusLine(w.buffer(), true, status)
	_ = w.header.WriteSubset(w.out, map[string]bool{"Content-Length": true, "Transfer-Encoding": true})
	w.out.WriteString("\r\n")
	if w.inTurn() {
		_ = w.flush()
	}
}

// buffer returns what is ready to be written.
func (w *response) buffer() *bytes.Buffer {
	if w.out == nil {
		w.out = getBuffer()
	}
	return w.out
}

// Write writes a part of the body.
func (w *response) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if !bodyAllowed(w.status) {
		return 0, http.ErrBodyNotAllowed
	}
	w.written += int64(len(p))
	if w.declared >= 0 && w.written > w.declared {
		return 0, http.ErrContentLength
	}
	if w.encoded {
		return w.emit(p)
	}
	if !w.ready() && w.prefixLen()+len(p) <= maxPrefix {
		if w.prefix == nil {
			w.prefix = getBuffer()
		}
		return w.prefix.Write(p)
	}
	if err := w.encode(p); err != nil {
		return 0, err
	}
	return w.emit(p)
}

// WriteString writes a part of the body.
func (w *response) WriteString(s string) (int, error) { return w.Write([]byte(s)) }

// ReadFrom copies the body from r.
func (w *response) ReadFrom(r io.Reader) (n int64, err error) {
	buf := copies.Get().(*[copySize]byte)
	defer copies.Put(buf)
	for {
		m, rerr := r.Read(buf[:])
		if m > 0 {
			k, err := w.Write(buf[:m])
			n += int64(k)
			if err != nil {
				return n, err
			}
		}
		if rerr == io.EOF {
			return n, nil
		}
		if rerr != nil {
			return n, rerr
		}
	}
}

// ready reports whether the head can be encoded before more of the body is known.
func (w *response) ready() bool {
	_, haveType := w.header["Content-Type"]
	return w.declared >= 0 && haveType
}

func (w *response) prefixLen() int {
	if w.prefix == nil {
		return 0
	}
	return w.prefix.Len()
}

// encode encodes the head and what was written before. first is the part of the body that is written next.
func (w *response) encode(first []byte) error {
	if w.prefixLen() > 0 {
		first = w.prefix.Bytes()
	}
	w.encodeHead(first)
	if w.prefixLen() == 0 {
		return nil
	}
	_, err := w.emit(w.prefix.Bytes())
	return err
}

// Flush writes what was written so far, if the call is the first in the line.
func (w *response) Flush() { _ = w.FlushError() }

// FlushError is Flush with its error.
func (w *response) FlushError() error {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if !w.encoded {
		if err := w.encode(nil); err != nil {
			return err
		}
	}
	if !w.inTurn() {
		return nil
	}
	return w.flush()
}

// SetReadDeadline sets the deadline for reading the body. Without one on the connection it does nothing.
func (w *response) SetReadDeadline(t time.Time) error { return w.x.c.setBodyDeadline(w.x.body, t) }

// SetWriteDeadline sets the deadline for writing the response, and for the wait for the turn.
func (w *response) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	if w.inTurn() {
		w.setConnDeadline()
	}
	return nil
}

// EnableFullDuplex does nothing: the body may be read after the response has begun.
func (w *response) EnableFullDuplex() error { return nil }

// finish completes the response and writes it in its turn. It reports whether the connection ends.
func (w *response) finish() (closes bool, err error) {
	w.returned = true
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if !w.encoded {
		if err := w.encode(nil); err != nil {
			return true, err
		}
	}
	if w.err != nil {
		return true, w.err
	}
	if w.chunked && w.x.req.Method != http.MethodHead {
		w.buffer().WriteString("0\r\n")
		w.writeTrailers()
		w.out.WriteString("\r\n")
	}
	if err := w.x.awaitTurn(w.deadline); err != nil {
		return true, err
	}
	w.takeTurn()
	if err := w.flush(); err != nil {
		return true, err
	}
	if w.endsAtClose() {
		w.x.c.setCloseDelimited(false)
	}
	short := w.declared >= 0 && w.written != w.declared && bodyAllowed(w.status) && w.x.req.Method != http.MethodHead
	return w.closes || short, nil
}

// endsWithConnection reports whether a part of the response was written whose end is that of the connection.
func (w *response) endsWithConnection() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent && w.endsAtClose()
}

// endsAtClose reports whether the end of the response is that of the connection.
func (w *response) endsAtClose() bool { return w.encoded && !w.chunked && w.declared < 0 }

// release returns the buffers.
func (w *response) release() {
	if w.pending > 0 {
		w.x.releasePending(w.pending)
		w.pending = 0
	}
	if w.prefix != nil {
		putBuffer(w.prefix)
	}
	if w.out != nil {
		putBuffer(w.out)
	}
	w.prefix, w.out = nil, nil
}

// writeTrailers writes the fields after a chunked body.
func (w *response) writeTrailers() {
	h := make(http.Header)
	for _, k := range w.trailers {
		for _, v := range w.header[k] {
			h.Add(k, v)
		}
	}
	for k, vs := range w.header {
		if name, ok := strings.CutPrefix(k, http.TrailerPrefix); ok {
			for _, v := range vs {
				h.Add(name, v)
			}
		}
	}
	_ = h.Write(w.out)
}
