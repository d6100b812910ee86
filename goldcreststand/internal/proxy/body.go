package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
)

// body is the body of a caller's request. A buffered body can be sent any number of times, a streamed
// one once.
type body struct {
	length   int64
	buffered []byte
	stream   io.Reader
	control  *http.ResponseController
	// touched says that a part of the stream was read.
	touched atomic.Bool
	// ended says that the end of the stream was reached, closed that nothing more may be read.
	ended  atomic.Bool
	closed atomic.Bool
}

// readBody buffers the body when it has at most limit bytes: of every call when its length is known,
// so that a call that was shed can be sent again; of an idempotent call also when it is not.
func readBody(c echo.Context, idempotent bool, limit int64, deadline time.Time) (*body, error) {
	req := c.Request()
	b := &body{length: req.ContentLength, control: http.NewResponseController(c.Response())}
	if req.ContentLength == 0 || req.Body == nil || req.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	if req.ContentLength > limit || req.ContentLength < 0 && (!idempotent || len(req.Trailer) > 0) {
		b.stream = req.Body
		return b, nil
	}
	b.setReadDeadline(deadline)
	buf, err := io.ReadAll(io.LimitReader(req.Body, limit+1))
	b.setReadDeadline(time.Time{})
	if err != nil {
		return nil, err
	}
	if int64(len(buf)) > limit {
		b.stream = io.MultiReader(bytes.NewReader(buf), req.Body)
		return b, nil
	}
	b.buffered, b.length = buf, int64(len(buf))
	return b, nil
}

// setReadDeadline bounds the wait for a slow caller. Writers without a connection, as in tests of a
// handler alone, have none.
func (b *body) setReadDeadline(t time.Time) { _ = b.control.SetReadDeadline(t) }

// streamed reports whether the body can be sent only once.
func (b *body) streamed() bool { return b.stream != nil }

// spent reports whether the body can not be sent again.
func (b *body) spent() bool { return b.touched.Load() }

// interrupt ends a read that waits for the caller. net/http waits for such a read before it reports
// that a call was canceled. After the end of the stream it does nothing, because net/http then reads
// on to notice that the caller closes its connection.
func (b *body) interrupt() {
	if b.streamed() && !b.ended.Load() {
		b.setReadDeadline(time.Unix(1, 0))
	}
}

// close ends the reading; the stream may not be read after the call has ended.
func (b *body) close() {
	b.closed.Store(true)
	b.interrupt()
}

// attach makes the body that of the request.
func (b *body) attach(req *http.Request) {
	req.ContentLength = b.length
	switch {
	case b.streamed():
		req.Body = &streamReader{b: b}
	case len(b.buffered) > 0:
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b.buffered)), nil }
		req.Body, _ = req.GetBody()
		// The body is at hand already, so that there is nothing to wait for.
		req.Header.Del("Expect")
	default:
		req.Body = http.NoBody
	}
}

// streamReader reads the stream of a body. Closing it leaves the stream open, because another try may
// read it when this one has not.
type streamReader struct {
	b      *body
	closed atomic.Bool
}

var errBodyClosed = errors.New("body is closed")

func (r *streamReader) Read(p []byte) (int, error) {
	if r.closed.Load() || r.b.closed.Load() {
		return 0, errBodyClosed
	}
	r.b.touched.Store(true)
	n, err := r.b.stream.Read(p)
	if errors.Is(err, io.EOF) {
		r.b.ended.Store(true)
	}
	return n, err
}

func (r *streamReader) Close() error {
	r.closed.Store(true)
	return nil
}
