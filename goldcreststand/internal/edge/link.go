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
	"goldcreststand.example/core/spread"
)

const (
	// readBuffer is the size of a link's read buffer; a response's header fits in.
	readBuffer = 4 << 10
	// maxStray bounds the responses to earlier requests that are skipped before that to the current one.
	maxStray = 4
	// maxBuffered is the size up to which a response is kept until it is complete, so that a broken one
	// can be replaced. What is longer is passed on as it comes.
	maxBuffered = 1 << 20
	// inlineBody is the size up to which a body is written before the response is read. A server that
	// responds early does not read on, and the window between the two is small.
	inlineBody = 4 << 10
	// idleMargin is how long before the server's own limit an idle link is closed.
	idleMargin = 1500 * time.Millisecond
	// defaultIdle is the time for which an idle link is kept when the server does not name a limit.
	// Servers close idle connections after 10 s.
	defaultIdle = 8500 * time.Millisecond
)

// Errors of an exchange.
var (
	errStray    = errs.New("too many responses to other requests")
	errUnsigned = errs.New("response does not prove that it is the server's")
	errUnknown  = errs.New("response names no request")
)

// response is a response of a backend server.
type response struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows body, or nil when body is complete.
	rest io.ReadCloser
	// id is the request that the response names, or empty.
	id ident.RequestID
	// notExecuted says that the server did not execute the request, signed that the response is its own.
	notExecuted, signed bool
}

// checkReply is a server's reply to a status check.
type checkReply struct {
	status int
	server ident.ServerID
	// loaded says that the server told its load.
	loaded  bool
	reading spread.LoadReport
}

// link is a connection to a backend server. One goroutine uses it at a time.
type link struct {
	server *spread.Server
	nc     net.Conn
	br     *bufio.Reader
	// expires is the time at which the link is closed when it is not used.
	expires time.Time
	// keep is the time for which the link is kept idle.
	keep time.Duration
	// spent says that the link cannot take another request.
	spent bool
}

func newLink(s *spread.Server, nc net.Conn) *link {
	return &link{server: s, nc: nc, br: bufio.NewReaderSize(nc, readBuffer), keep: defaultIdle}
}

func (l *link) close() { _ = l.nc.Close() }

// sendCheck writes a status check.
func (l *link) sendCheck(path string, deadline time.Time) error {
	if err := l.nc.SetDeadline(deadline); err != nil {
		return err
	}
	_, err := l.nc.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + l.server.Address.String() + "\r\n\r\n"))
	return err
}

// readCheck reads the response to a status check. A response that names a request is a late one to an
// earlier call and says that the link is out of step.
func (l *link) readCheck(d Dialect) (checkReply, error) {
	resp, err := http.ReadResponse(l.br, nil)
	if err != nil {
		return checkReply{}, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return checkReply{}, err
	}
	if d.RequestID(resp.Header) != "" {
		return checkReply{}, errStray
	}
	l.note(resp)
	out := checkReply{status: resp.StatusCode, server: d.ServerID(resp.Header)}
	out.reading, out.loaded = d.Load(resp.Header)
	return out, nil
}

// outgoing is a request as it is written to a backend server.
type outgoing struct {
	method string
	head   []byte
	body   []byte
	id     ident.RequestID
}

// encode returns the request's bytes. The target is passed on as the caller wrote it.
func encode(r *http.Request, body []byte, id ident.RequestID) *outgoing {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(body) > 0 || r.ContentLength != 0 || r.Header.Get("Content-Length") != "" {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	// Writing to a buffer does not fail.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Content-Length": true})
	b.WriteString("\r\n")
	return &outgoing{method: r.Method, head: b.Bytes(), body: body, id: id}
}

// exchange sends the request and reads its response. wrote says whether a byte was handed to the
// connection.
func (l *link) exchange(d Dialect, o *outgoing) (resp *response, wrote bool, err error) {
	msg := o.head
	if len(o.body) <= inlineBody {
		msg = append(msg[:len(msg):len(msg)], o.body...)
	}
	n, err := l.nc.Write(msg)
	if err != nil {
		l.spent = true
		return nil, n > 0, err
	}
	if len(o.body) <= inlineBody {
		resp, err = l.read(d, o)
		return resp, true, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := l.nc.Write(o.body)
		written <- err
	}()
	resp, err = l.read(d, o)
	select {
	case werr := <-written:
		l.spent = l.spent || werr != nil
	default:
		// The server responded before it had the whole body; the link closes with the rest unsent.
		l.spent = true
	}
	return resp, true, err
}

// read reads the response to the request and skips those to earlier ones.
func (l *link) read(d Dialect, o *outgoing) (*response, error) {
	for range maxStray {
		resp, err := http.ReadResponse(l.br, &http.Request{Method: o.method})
		if err != nil {
			l.spent = true
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		out, err := l.receive(d, resp)
		if err != nil {
			l.spent = true
			return nil, err
		}
		if out.id != "" && out.id != o.id {
			continue
		}
		return out, l.judge(out)
	}
	l.spent = true
	return nil, errStray
}

// judge reports whether the response can be trusted to be that of the request.
func (l *link) judge(out *response) error {
	switch {
	case out.notExecuted:
		return nil
	case out.id == "":
		l.spent = true
		return errUnknown
	case out.status < http.StatusMultipleChoices && !out.signed:
		l.spent = true
		return errUnsigned
	}
	return nil
}

// receive reads the body, up to maxBuffered bytes of it.
func (l *link) receive(d Dialect, resp *http.Response) (*response, error) {
	out := &response{
		status: resp.StatusCode, header: resp.Header, id: d.RequestID(resp.Header),
		notExecuted: d.NotExecuted(resp.StatusCode, resp.Header), signed: d.Signed(resp.Header),
	}
	var err error
	switch n := resp.ContentLength; {
	case resp.Body == http.NoBody:
		// The length of a response to HEAD is that of a body which does not come.
	case n >= 0 && n <= maxBuffered:
		out.body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, out.body)
	default:
		out.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
		if err == nil && len(out.body) == maxBuffered {
			out.rest = resp.Body
			l.spent = true
		}
	}
	if err != nil {
		return nil, err
	}
	l.note(resp)
	// What follows a complete response belongs to no request.
	if resp.Close || l.br.Buffered() > 0 {
		l.spent = true
	}
	return out, nil
}

// note takes the server's limit for idle connections.
func (l *link) note(resp *http.Response) {
	if resp.Close {
		l.spent = true
	}
	v, ok := strings.CutPrefix(resp.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	v, _, _ = strings.Cut(v, ",")
	if s, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && s > 0 {
		l.keep = max(time.Duration(s)*time.Second-idleMargin, time.Duration(s)*time.Second/2)
	}
}

// silent reports whether the error says that nothing came in time, as opposed to a closed connection.
func silent(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
