package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/lib/header"
)

const (
	// readBufferSize is the size of a connection's read buffer. It holds the header of a response.
	readBufferSize = 4 << 10
	// maxStaleResponses bounds the responses to earlier requests that are skipped.
	maxStaleResponses = 4
	// maxInlineBody is the size up to which a body is written before the response is read. A longer one is written
	// concurrently, because a server that responds early stops reading and the write would block.
	maxInlineBody = 4 << 10
	// idleTimeoutMargin is how long before the server's idle timeout a connection is closed.
	idleTimeoutMargin = 1500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout if the server sends none. Servers close idle connections after 10 s.
	defaultIdleTimeout = 8500 * time.Millisecond
)

// Errors of requests to a backend server.
var (
	errStale       = errs.New("response belongs to an earlier request")
	errUnsigned    = errs.New("response has no signature of the server")
	errNoRequestID = errs.New("response has no request id")
)

// response is a response of a backend server.
type response struct {
	status int
	header http.Header
	body   []byte
	// rest is the remaining body, or nil if body is complete.
	rest io.ReadCloser
	// long reports that the body counts as one of the long bodies that are buffered.
	long bool
	// id is the id of the request in the response, or empty.
	id ident.RequestID
	// notExecuted reports that the server did not execute the request, signed that the response has its signature.
	notExecuted, signed bool
	notice              notice.Notice
}

// checkReply is a server's reply to a status check.
type checkReply struct {
	status int
	server ident.ServerID
	// hasLoad reports that the reply has a load report.
	hasLoad bool
	load    spread.LoadReport
	notice  notice.Notice
}

// conn is a connection to a backend server. One goroutine uses it at a time.
type conn struct {
	server *spread.Server
	nc     net.Conn
	// limit bounds what br reads.
	limit *limitedReader
	br    *bufio.Reader
	long  longBodies
	// upload writes the body of the current request, or is nil if it was written before the response is read.
	upload *upload
	// expires is the end of the idle timeout.
	expires     time.Time
	idleTimeout time.Duration
	// unusable reports that the connection cannot be reused.
	unusable bool
}

func newConn(s *spread.Server, nc net.Conn, long longBodies) *conn {
	limit := &limitedReader{r: nc}
	return &conn{
		server: s, nc: nc, limit: limit, br: bufio.NewReaderSize(limit, readBufferSize), long: long, idleTimeout: defaultIdleTimeout,
	}
}

func (c *conn) close() { _ = c.nc.Close() }

// sendCheck writes a status check.
func (c *conn) sendCheck(path string, deadline time.Time) error {
	if err := c.nc.SetDeadline(deadline); err != nil {
		return err
	}
	_, err := c.nc.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + c.server.Address.String() + "\r\n\r\n"))
	return err
}

// readCheck reads the response to a status check. A response that has a request id, lacks the server's own id or is
// followed by further bytes is a late response to an earlier call, and the connection cannot be used any more.
func (c *conn) readCheck(d Dialect) (checkReply, error) {
	resp, err := c.readHead(nil)
	if err != nil {
		return checkReply{}, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return checkReply{}, err
	}
	id := d.ServerID(resp.Header)
	if d.RequestID(resp.Header) != "" || id == "" && resp.StatusCode == http.StatusOK || c.br.Buffered() > 0 {
		return checkReply{}, errStale
	}
	c.readKeepAlive(resp)
	// A late copy of such a reply would be taken for the refusal of a call.
	c.unusable = c.unusable || resp.StatusCode != http.StatusOK
	out := checkReply{
		status: resp.StatusCode, server: id, notice: d.Notice(resp.StatusCode, resp.Header),
	}
	out.load, out.hasLoad = d.Load(resp.Header)
	return out, nil
}

// readHead reads the head of a response to the request. The reader of its body must lift the limit of the head.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.limit.startHead()
	earlyEncoding := hasEncodingBeforeHTTP11(c.br)
	resp, err := http.ReadResponse(c.br, r)
	switch {
	case err != nil && c.limit.left <= 0:
		// net/http reports the limit as an unexpected end.
		return nil, errResponseTooLarge
	case err != nil:
		return nil, err
	case len(resp.Header) > maxResponseFields:
		return nil, errResponseTooLarge
	case earlyEncoding:
		return nil, errFaultyFraming
	}
	if err := header.CheckResponse(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// serverRequest is an encoded request to a backend server.
type serverRequest struct {
	method string
	head   []byte
	// body is a copy, because the call may end and release its body before it is written.
	body requestBody
	id   ident.RequestID
}

// encodeRequest encodes a request. The request target is forwarded unchanged.
func encodeRequest(r *http.Request, body requestBody, id ident.RequestID) *serverRequest {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if body.size > 0 || r.ContentLength != 0 || r.Header.Get("Content-Length") != "" {
		b.WriteString("Content-Length: " + strconv.FormatInt(body.size, 10) + "\r\n")
	}
	// Writing to a buffer cannot fail.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Content-Length": true})
	b.WriteString("\r\n")
	return &serverRequest{method: r.Method, head: b.Bytes(), body: body, id: id}
}

// roundTrip sends the request and reads its response. wrote reports whether any byte was written.
func (c *conn) roundTrip(d Dialect, req *serverRequest) (resp *response, wrote bool, err error) {
	msg := req.head
	c.upload = nil
	inline := req.body.size <= maxInlineBody
	if inline {
		msg = slices.Concat(append([][]byte{msg}, req.body.parts...)...)
	}
	n, err := c.nc.Write(msg)
	if err != nil {
		c.unusable = true
		return nil, n > 0, err
	}
	if inline {
		resp, err = c.readResponse(d, req)
		return resp, true, err
	}
	c.upload = startUpload(c.nc, req.body)
	resp, err = c.readResponse(d, req)
	// If the server responded before the whole body was written, the connection must be closed.
	c.unusable = c.unusable || !c.upload.complete()
	return resp, true, err
}

// readResponse reads the response to the request, and skips informational responses and those to earlier requests.
func (c *conn) readResponse(d Dialect, req *serverRequest) (*response, error) {
	for range maxStaleResponses {
		resp, err := c.readHead(&http.Request{Method: req.method})
		if err != nil {
			c.unusable = true
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		out, err := c.readBody(d, resp)
		if err != nil {
			c.unusable = true
			return nil, err
		}
		if out.id != "" && out.id != req.id {
			out.release(c.long)
			if out.rest != nil {
				break
			}
			continue
		}
		return out, c.verify(out)
	}
	c.unusable = true
	return nil, errStale
}

// verify returns an error if the response lacks the request id or the signature that it needs. A refusal needs no id, but
// one without it ends the connection: a copy of it that arrives late could not be told from the refusal of the next call.
func (c *conn) verify(out *response) error {
	switch {
	case out.notExecuted:
		c.unusable = c.unusable || out.id == ""
		return nil
	case out.id == "":
		c.unusable = true
		return errNoRequestID
	case out.status < http.StatusMultipleChoices && !out.signed:
		c.unusable = true
		return errUnsigned
	}
	return nil
}

// readBody reads the response's body. Of a long one it reads a part.
func (c *conn) readBody(d Dialect, resp *http.Response) (*response, error) {
	out := &response{
		status: resp.StatusCode, header: resp.Header, id: d.RequestID(resp.Header),
		notExecuted: d.NotExecuted(resp.StatusCode, resp.Header), signed: d.Signed(resp.Header),
		notice: d.Notice(resp.StatusCode, resp.Header),
	}
	c.limit.startBody()
	if c.upload != nil && !header.HasDelimitedBody(resp) {
		resp.Body = &uploadCheckedBody{resp.Body, c.upload}
	}
	var err error
	switch n := resp.ContentLength; {
	case resp.Body == http.NoBody:
		// A response to HEAD has a Content-Length but no body.
	case n >= 0 && n <= maxSmallBody:
		out.body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, out.body)
	default:
		err = c.readLongBody(out, resp.Body)
	}
	if err != nil {
		out.release(c.long)
		return nil, err
	}
	c.readKeepAlive(resp)
	// Any bytes after a complete response belong to no request.
	if resp.Close || c.br.Buffered() > 0 {
		c.unusable = true
	}
	return out, nil
}

// readLongBody reads a body whose length is unknown or large. What does not fit into memory is left in rest.
func (c *conn) readLongBody(out *response, body io.ReadCloser) error {
	var err error
	if out.body, err = io.ReadAll(io.LimitReader(body, maxSmallBody)); err != nil || len(out.body) < maxSmallBody {
		return err
	}
	if out.long = c.long.reserve(); out.long {
		more, err := io.ReadAll(io.LimitReader(body, maxBufferedBody-maxSmallBody))
		out.body = append(out.body, more...)
		if err != nil || len(out.body) < maxBufferedBody {
			return err
		}
	}
	out.rest = body
	c.unusable = true
	return nil
}

// release ends the use of memory that was reserved for a long body.
func (r *response) release(long longBodies) {
	if r.long {
		r.long = false
		long.release()
	}
}

// closeRest closes the remaining body with its connection.
func (r *response) closeRest() {
	if r.rest != nil {
		_ = r.rest.Close()
		r.rest = nil
	}
}

// readKeepAlive sets the idle timeout from the server's Keep-Alive field.
func (c *conn) readKeepAlive(resp *http.Response) {
	if resp.Close {
		c.unusable = true
	}
	v, ok := strings.CutPrefix(resp.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	v, _, _ = strings.Cut(v, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && s > 0 {
		c.idleTimeout = max(time.Duration(s)*time.Second-idleTimeoutMargin, time.Duration(s)*time.Second/2)
	}
}

// isTimeout reports whether the error is a timeout, as opposed to a closed connection.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
