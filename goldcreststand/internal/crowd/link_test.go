package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Paths of routes for calls that may and may not be repeated. Some configurations have a route of its own for extraPath.
const (
	safePath   = callPath
	extraPath  = callPath + "extra/"
	unsafePath = "/order/"
)

func safePaths() []string { return []string{safePath, extraPath} }

// crossingDeadline is the time for which a caller waits for a response. An instance that is asked to end accepts calls that end
// in time.
const crossingDeadline = 400 * time.Millisecond

// lossSlack is the time after which the rules count a request as lost that was read and was not passed on.
const lossSlack = 200 * time.Millisecond

// outcome is how a request ended.
type outcome int

const (
	outcomeAnswered outcome = iota
	// outcomeNotSent means that the connection had ended before the request was sent.
	outcomeNotSent
	// outcomeBehind means that the request was sent behind a response that says that the connection ends.
	outcomeBehind
	// outcomeUnread means that the request crossed the close of the connection and was not read whole.
	outcomeUnread
	// outcomeReset means that the connection was reset. Whether the request was read is not known.
	outcomeReset
	// outcomeReadAndCut means that the instance has read the whole request and closed the connection.
	outcomeReadAndCut
	// outcomePassedOnAndCut means that the request has reached the backend server.
	outcomePassedOnAndCut
	numOutcomes
)

// String returns the name of the outcome.
func (f outcome) String() string {
	return [numOutcomes]string{"answered", "not sent", "behind a closing response", "unread", "reset", "read and cut", "passed on and cut"}[f]
}

// request is a request on a link.
type request struct {
	id, text string
	// unsafe reports that the request may be executed once at most.
	unsafe bool
	// deadline is the time for which the caller waits for the response.
	deadline time.Duration
	sent     time.Time
	// end is the number of bytes that the link has sent up to the end of the request.
	end uint64
}

// newRequest returns a request on which the backend server works for the time.
func newRequest(id, method, path string, work time.Duration, body int) *request {
	return newRequestUntil(id, method, path, work, body, crossingDeadline)
}

// newRequestUntil returns a request with a deadline of its own.
func newRequestUntil(id, method, path string, work time.Duration, body int, deadline time.Duration) *request {
	r := &request{id: id, unsafe: path == unsafePath, deadline: deadline}
	r.text = fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Goldcreststand-Request-Id: %s\r\nX-Goldcreststand-Deadline-Ms: %d\r\n%s: %d\r\n",
		method, path, id, callHost, id, deadline.Milliseconds(), workField, work.Milliseconds())
	if method == http.MethodPost {
		r.text += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	r.text += "\r\n" + strings.Repeat("b", body)
	return r
}

// link is a connection of a caller that keeps it open. A goroutine reads the responses.
type link struct {
	nc    *net.TCPConn
	tally *tally
	// acked is the number of acknowledged bytes at the start.
	acked uint64
	// ended is closed at the end of the connection, and answered receives a value with each response.
	ended    chan struct{}
	answered chan struct{}

	mu      sync.Mutex
	sent    uint64
	pending []*request
	// closing is set once a response has said that the connection ends.
	closing, done bool
	lastAnswer    time.Time
	// refused reports that the last response was a refusal.
	refused bool
	cause   error
}

// connect opens a link.
func connect(to netip.AddrPort, t *tally) (*link, error) {
	nc, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		return nil, err
	}
	l := &link{nc: nc.(*net.TCPConn), tally: t, ended: make(chan struct{}), answered: make(chan struct{}, 64)}
	info, err := l.info()
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	l.acked = info.Bytes_acked
	go l.read()
	return l, nil
}

// info returns the state of the connection.
func (l *link) info() (info *unix.TCPInfo, err error) {
	raw, err := l.nc.SyscallConn()
	if err != nil {
		return nil, err
	}
	if cerr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); cerr != nil {
		return nil, cerr
	}
	return info, err
}

// send sends requests in one piece. It reports whether the link is still open.
func (l *link) send(rs ...*request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	info, err := l.info()
	if l.done || l.closing || err != nil || info.State != unix.BPF_TCP_ESTABLISHED {
		for range rs {
			l.tally.count(outcomeNotSent)
		}
		return false
	}
	var text strings.Builder
	for _, r := range rs {
		text.WriteString(r.text)
		l.sent += uint64(len(r.text))
		r.end, r.sent = l.sent, time.Now()
	}
	l.pending = append(l.pending, rs...)
	_, err = io.WriteString(l.nc, text.String())
	for _, r := range rs {
		r.sent = time.Now()
	}
	return err == nil
}

// call sends requests and waits for their responses, or for the end of the link. It reports whether the link is still open.
func (l *link) call(rs ...*request) bool {
	if !l.send(rs...) {
		return false
	}
	for range rs {
		select {
		case <-l.answered:
		case <-l.ended:
			return false
		case <-time.After(patience):
			l.tally.fail("request %q: no response and no end", rs[0].id)
			return false
		}
	}
	return true
}

func (l *link) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// pause returns the time for which a caller waits after the last response. Instances ask for 30 ms after a refusal.
func (l *link) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused {
		return 30 * time.Millisecond
	}
	return 0
}

// read reads responses until the connection ends.
func (l *link) read() {
	defer close(l.ended)
	br := bufio.NewReader(l.nc)
	for {
		if err := l.receive(br); err != nil {
			l.end(err)
			return
		}
		l.answered <- struct{}{}
	}
}

// receive reads one response.
func (l *link) receive(br *bufio.Reader) error {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return fmt.Errorf("response with status %d to no request", resp.StatusCode)
	}
	r := l.pending[0]
	l.pending, l.lastAnswer = l.pending[1:], time.Now()
	l.closing = l.closing || resp.Close
	l.refused = resp.StatusCode == http.StatusServiceUnavailable
	if id := resp.Header.Get("X-Goldcreststand-Request-Id"); id != r.id && resp.StatusCode == http.StatusOK {
		l.tally.fail("response %q to request %q", id, r.id)
	}
	l.tally.count(outcomeAnswered)
	l.tally.status(resp.StatusCode)
	if l.refused && r.unsafe {
		l.tally.refuse(r)
	}
	return nil
}

// end finds out what became of the requests without a response.
func (l *link) end(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done, l.cause = true, cause
	info, err := l.info()
	_ = l.nc.Close()
	// Linux resets a connection that is closed with unread bytes. Without a reset, what was acknowledged was read.
	clean := err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	for _, r := range l.pending {
		f := outcomeReset
		switch {
		case l.tally.deployment.hasSeen(r.id):
			f = outcomePassedOnAndCut
		case l.closing:
			f = outcomeBehind
		case err == nil && info.Bytes_acked < l.acked+r.end:
			f = outcomeUnread
		case clean:
			f = outcomeReadAndCut
		}
		l.tally.lost(l, r, f)
	}
}

// close ends the link from the caller's side. A reset leaves no port in TIME_WAIT: a run would use up those of the machine.
func (l *link) close() {
	_ = l.nc.SetLinger(0)
	_ = l.nc.Close()
	<-l.ended
}
