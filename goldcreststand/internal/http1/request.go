package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/http/httpguts"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/pipe"
	"goldcreststand.example/core/rules"
)

// maxEmptyLines is the number of empty lines that are tolerated after a POST. Some old clients send one.
const maxEmptyLines = 2

var (
	errHeadTooLarge = Error.New("head is too large")
	// errNoMemory reports that other connections take the memory for the head.
	errNoMemory = Error.New("no memory for the head")
)

// readCall reads the head of the next request. It returns nil if the caller has closed the connection. A request that
// must not be served becomes a call with a fixed response, after which nothing is read.
func (c *conn) readCall() *call {
	n, err := c.readHead()
	var req *http.Request
	var lines int
	if err == nil {
		req, lines, err = c.parse(n)
	}
	switch {
	case err == nil:
		return c.newCall(req, ident.Bytes(n), lines)
	case errors.Is(err, errNoMemory):
		return c.fixedCall(unavailableResponse)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.fixedCall("")
	case !Error.Has(err):
		c.abandon(endCallerClosed)
		return nil
	}
	c.srv.metrics.Invalid.Add(1)
	c.srv.log.Failure("rejected an invalid request", logrus.Fields{"caller": c.remote, "error": err.Error()})
	return c.fixedCall(errorResponse(err))
}

// readHead reads until the buffer contains a whole head, and returns its length.
func (c *conn) readHead() (int, error) {
	limit := int(MaxHeader)
	if l := int(c.srv.maxHeader()); l > 0 {
		limit = min(l, limit)
	}
	defer c.setReadDeadline(time.Time{})
	timed, skipped := c.deadlineSet, 0
	for from := 0; ; {
		b, _ := c.br.Peek(c.br.Buffered())
		if c.lastPost && skipped < maxEmptyLines && bytes.HasPrefix(b, []byte("\r\n")) {
			_, _ = c.br.Discard(2)
			skipped++
			continue
		}
		n, next, err := endOfHead(b, from)
		switch {
		case err != nil:
			return 0, err
		case n > limit || n == 0 && len(b) >= limit:
			return 0, errHeadTooLarge
		case n > 0:
			return n, nil
		}
		from = next
		if len(b) == c.br.Size() && !c.grow(limit) {
			return 0, errNoMemory
		}
		if !timed {
			timed = true
			c.setReadDeadline(time.Now().Add(c.srv.headerTimeout))
		}
		if err := c.awaitBytes(len(b) + 1); err != nil {
			return 0, err
		}
	}
}

// grow replaces the buffer by one that is twice as large, and reports whether there is room for it. The old one remains its
// source.
func (c *conn) grow(limit int) bool {
	b, _ := c.br.Peek(c.br.Buffered())
	// The copy of the old buffer stays until its bytes were read.
	size := min(2*len(b), limit+readBufferSize) + len(b)
	if !c.account.Take(budget.ItemHead, int64(size)) {
		return false
	}
	c.grown += int64(size)
	old := bytes.Clone(b)
	_, _ = c.br.Discard(len(old))
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(old), c.base), min(2*len(old), limit+readBufferSize))
	return true
}

// parse parses and checks the head, whose length is n. It returns the number of its lines.
func (c *conn) parse(n int) (*http.Request, int, error) {
	head, err := c.br.Peek(n)
	if err != nil {
		return nil, 0, err
	}
	if err := checkHead(head); err != nil {
		return nil, 0, err
	}
	lines := bytes.Count(head, []byte("\n"))
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	if !httpguts.ValidHostHeader(req.Host) {
		return nil, 0, errHost
	}
	delete(req.Header, "Host")
	req.RemoteAddr = c.remote
	c.lastPost = req.Method == http.MethodPost
	return req, lines, nil
}

// newCall returns the call of a request. The body is read at once if it has already arrived. Otherwise it stays on the
// connection, and the handler reads it.
func (c *conn) newCall(req *http.Request, size ident.Bytes, lines int) *call {
	x := &call{c: c, readAt: c.srv.clock.Now(), headSize: int64(size), fields: int64(lines)}
	ctx, cancel := context.WithCancelCause(c.ctx)
	x.req, x.cancel = req.WithContext(ctx), cancel
	x.w.init(x)
	expect := req.Header.Get("Expect")
	expects := strings.EqualFold(expect, "100-continue")
	if expect != "" && !expects {
		x.fixed, x.isFixed = expectationFailed(), true
	}
	x.last = req.Close || x.isFixed
	r := pipe.Request{Size: size, Unbounded: req.ContentLength < 0, Last: x.last}
	if c.srv.kinds != nil && !expects && req.ProtoAtLeast(1, 1) {
		r.Kind = c.srv.kinds.Kind(x.req)
	}
	if req.ContentLength > 0 {
		r.Size += ident.Bytes(req.ContentLength)
	}
	x.request = r
	x.setBody(expects && req.ProtoAtLeast(1, 1))
	return x
}

// setBody replaces the body that http.ReadRequest set.
func (x *call) setBody(expects bool) {
	br, n := x.c.br, x.req.ContentLength
	switch {
	case n == 0:
		x.req.Body = http.NoBody
	case n > 0 && n <= int64(br.Buffered()):
		b := make([]byte, n)
		_, _ = io.ReadFull(br, b)
		m := new(memoryBody)
		m.Reset(b)
		x.req.Body = m
		x.kept = n
	default:
		x.body = &body{c: x.c, x: x, expects: expects}
		x.body.left.Store(n)
		if n < 0 {
			x.body.src = httputil.NewChunkedReader(br)
		} else {
			x.body.src = br
		}
		x.req.Body = x.body
	}
}

// fixedCall returns a call with a fixed response, behind which nothing is read. An empty response closes the connection.
func (c *conn) fixedCall(response string) *call {
	x := &call{c: c, fixed: response, isFixed: true, last: true, cancel: func(error) {}}
	x.request = pipe.Request{Kind: rules.KindUnsafe, Last: true}
	return x
}

// expectationFailed returns the response to an expectation other than 100-continue.
func expectationFailed() string {
	return "HTTP/1.1 417 Expectation Failed\r\nConnection: close\r\nDate: " + time.Now().UTC().Format(http.TimeFormat) + "\r\nContent-Length: 0\r\n\r\n"
}

// errorResponse returns the response to a request that was not accepted.
func errorResponse(err error) string {
	status := "400 Bad Request"
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = "431 Request Header Fields Too Large"
	case errors.Is(err, errNoHost):
		status += ": missing required Host header"
	case errors.Is(err, errVersion):
		status = "505 HTTP Version Not Supported: unsupported protocol version"
	}
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + status
}

// unavailableResponse is the response to a request for which there is no memory.
const unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.030\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
