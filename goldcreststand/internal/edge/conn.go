package edge

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/spread"
)

const (
	// readBufferSize is the size of a connection's read buffer. It holds the header of a response.
	readBufferSize = 4 << 10
	// maxStaleResponses bounds the responses to earlier requests that are skipped.
	maxStaleResponses = 4
	// maxBufferedBody is the size up to which a body is buffered. The call can be retried if a buffered body is
	// truncated; longer bodies are streamed.
	maxBufferedBody = 1 << 20
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
	br     *bufio.Reader
	// expires is the end of the idle timeout.
	expires     time.Time
	idleTimeout time.Duration
	// unusable reports that the connection cannot be reused.
	unusable bool
}

func newConn(s *spread.Server, nc net.Conn) *conn {
	return &conn{server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferSize), idleTimeout: defaultIdleTimeout}
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

// readCheck reads the response to a status check. A response with a request id is a late response to an earlier call,
// and the connection cannot be used any more.
func (c *conn) readCheck(d Dialect) (checkReply, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return checkReply{}, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return checkReply{}, err
	}
	if d.RequestID(resp.Header) != "" {
		return checkReply{}, errStale
	}
	c.readKeepAlive(resp)
	out := checkReply{
		status: resp.StatusCode, server: d.ServerID(resp.Header), notice: d.Notice(resp.StatusCode, resp.Header),
	}
	out.load, out.hasLoad = d.Load(resp.Header)
	return out, nil
}

// serverRequest is an encoded request to a backend server.
type serverRequest struct {
	method string
	head   []byte
	body   []byte
	id     ident.RequestID
}

// encodeRequest encodes a request. The request target is forwarded unchanged.
func encodeRequest(r *http.Request, body []byte, id ident.RequestID) *serverRequest {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(body) > 0 || r.ContentLength != 0 || r.Header.Get("Content-Length") != "" {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	// Writing to a buffer cannot fail.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Content-Length": true})
	b.WriteString("\r\n")
	return &serverRequest{method: r.Method, head: b.Bytes(), body: body, id: id}
}

// roundTrip sends the request and reads its response. wrote reports whether any byte was written.
func (c *conn) roundTrip(d Dialect, req *serverRequest) (resp *response, wrote bool, err error) {
	msg := req.head
	if len(req.body) <= maxInlineBody {
		msg = append(msg[:len(msg):len(msg)], req.body...)
	}
	n, err := c.nc.Write(msg)
	if err != nil {
		c.unusable = true
		return nil, n > 0, err
	}
	if len(req.body) <= maxInlineBody {
		resp, err = c.readResponse(d, req)
		return resp, true, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.nc.Write(req.body)
		written <- err
	}()
	resp, err = c.readResponse(d, req)
	select {
	case werr := <-written:
		c.unusable = c.unusable || werr != nil
	default:
		// The server responded before the whole body was written, so the connection must be closed.
		c.unusable = true
	}
	return resp, true, err
}

// readResponse reads the response to the request, and skips informational responses and those to earlier requests.
func (c *conn) readResponse(d Dialect, req *serverRequest) (*response, error) {
	for range maxStaleResponses {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: req.method})
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
			continue
		}
		return out, c.verify(out)
	}
	c.unusable = true
	return nil, errStale
}

// verify returns an error if the response lacks the request id or the signature that it needs.
func (c *conn) verify(out *response) error {
	switch {
	case out.notExecuted:
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

// readBody reads the response's body, up to maxBufferedBody bytes of it.
func (c *conn) readBody(d Dialect, resp *http.Response) (*response, error) {
	out := &response{
		status: resp.StatusCode, header: resp.Header, id: d.RequestID(resp.Header),
		notExecuted: d.NotExecuted(resp.StatusCode, resp.Header), signed: d.Signed(resp.Header),
		notice: d.Notice(resp.StatusCode, resp.Header),
	}
	var err error
	switch n := resp.ContentLength; {
	case resp.Body == http.NoBody:
		// A response to HEAD has a Content-Length but no body.
	case n >= 0 && n <= maxBufferedBody:
		out.body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, out.body)
	default:
		out.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
		if err == nil && len(out.body) == maxBufferedBody {
			out.rest = resp.Body
			c.unusable = true
		}
	}
	if err != nil {
		return nil, err
	}
	c.readKeepAlive(resp)
	// Any bytes after a complete response belong to no request.
	if resp.Close || c.br.Buffered() > 0 {
		c.unusable = true
	}
	return out, nil
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
