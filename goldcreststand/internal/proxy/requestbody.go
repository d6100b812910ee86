package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/goldcreststand/internal/sock"
)

// requestBody is the body of a caller's request. A buffered body can be sent repeatedly, a streamed body only
// once.
type requestBody struct {
	length     int64
	buffered   []byte
	stream     io.Reader
	controller *http.ResponseController
	// readStarted is set once any part of the stream was read.
	readStarted atomic.Bool
	// reachedEOF is set at the end of the stream; closed is set when the stream must no longer be read.
	reachedEOF atomic.Bool
	closed     atomic.Bool
}

// readBody buffers a body of at most limit bytes; this allows a retry of an idempotent call and of a call that
// was shed. A body of unknown length is buffered only for idempotent calls without trailers.
func readBody(c echo.Context, idempotent bool, limit int64, deadline time.Time) (*requestBody, error) {
	req := c.Request()
	b := &requestBody{length: req.ContentLength, controller: http.NewResponseController(c.Response())}
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

// setReadDeadline bounds the wait for a slow caller. Response writers without a connection, as in handler
// tests, don't support it; the error is ignored.
func (b *requestBody) setReadDeadline(t time.Time) { _ = b.controller.SetReadDeadline(t) }

// streamed reports whether the body can be sent only once.
func (b *requestBody) streamed() bool { return b.stream != nil }

// consumed reports whether the body cannot be sent again because a part of the stream was read.
func (b *requestBody) consumed() bool { return b.readStarted.Load() }

// interruptRead unblocks a pending read from the caller; net/http waits for this read before it returns from a
// canceled round trip. After the end of the stream it does nothing, because net/http then reads from the
// connection to detect that the caller closes it.
func (b *requestBody) interruptRead() {
	if b.streamed() && !b.reachedEOF.Load() {
		b.setReadDeadline(sock.Past)
	}
}

// close stops reads of the stream, which must not be read after the call has ended.
func (b *requestBody) close() {
	b.closed.Store(true)
	b.interruptRead()
}

// attach sets the body of the request.
func (b *requestBody) attach(req *http.Request) {
	req.ContentLength = b.length
	switch {
	case b.streamed():
		req.Body = &streamReader{b: b}
	case len(b.buffered) > 0:
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(b.buffered)), nil }
		req.Body, _ = req.GetBody()
		// The body is already buffered, so there is no need to wait for 100 Continue.
		req.Header.Del("Expect")
	default:
		req.Body = http.NoBody
	}
}

// streamReader reads the stream of a body for one try. Close leaves the stream open, because another try may
// read it if this try has not started to.
type streamReader struct {
	b      *requestBody
	closed atomic.Bool
}

var errBodyClosed = errors.New("request body is closed")

func (r *streamReader) Read(p []byte) (int, error) {
	if r.closed.Load() || r.b.closed.Load() {
		return 0, errBodyClosed
	}
	r.b.readStarted.Store(true)
	n, err := r.b.stream.Read(p)
	if errors.Is(err, io.EOF) {
		r.b.reachedEOF.Store(true)
	}
	return n, err
}

func (r *streamReader) Close() error {
	r.closed.Store(true)
	return nil
}
