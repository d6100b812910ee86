package edge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/goldcreststand/internal/edge"
	"goldcreststand.example/lib/header"
)

// Header fields of the tests' dialect.
const (
	fieldRequest     = "Request-Id"
	fieldTimeout     = "Timeout-Ms"
	fieldTarget      = "Target"
	fieldSignature   = "Signature"
	fieldNotExecuted = "Not-Executed"
	fieldServer      = "Server-Id"
	fieldLoad        = "Load"
	fieldCold        = "Cold-Ms"
	fieldLeaving     = "Leaving"

	fieldKey          = "Key"
	fieldOrganisation = "Organisation"
)

// dialect uses the fields above. The load is running, waiting, slots and slowness in percent.
type dialect struct{}

var _ edge.Dialect = dialect{}

func (dialect) ReadRequest(h http.Header) (ident.RequestID, time.Duration, error) {
	ms, err := strconv.Atoi(h.Get(fieldTimeout))
	if err == nil && h.Get(fieldRequest) == "" {
		err = errors.New("no id")
	}
	return ident.RequestID(h.Get(fieldRequest)), time.Duration(ms) * time.Millisecond, err
}

func (dialect) Key(h http.Header) access.Key { return access.Key(h.Get(fieldKey)) }

func (dialect) Prepare(h http.Header, to ident.ServerID, left time.Duration, caller access.Caller) {
	if caller.Examined {
		h.Del(fieldKey)
		h.Del(fieldOrganisation)
	}
	if caller.Name != "" {
		h.Set(fieldOrganisation, string(caller.Name))
	}
	h.Set(fieldTarget, string(to))
	h.Set(fieldTimeout, strconv.FormatInt(left.Milliseconds(), 10))
}

func (dialect) RequestID(h http.Header) ident.RequestID {
	id, _ := header.Single(h, fieldRequest)
	return ident.RequestID(id)
}

func (dialect) ServerID(h http.Header) ident.ServerID { return ident.ServerID(h.Get(fieldServer)) }

func (dialect) NotExecuted(status int, h http.Header) bool {
	return h.Get(fieldNotExecuted) != "" || status == http.StatusMisdirectedRequest
}

func (dialect) Signed(h http.Header) bool { return h.Get(fieldSignature) != "" }

func (dialect) Load(h http.Header) (spread.LoadReport, bool) {
	var r spread.LoadReport
	n, _ := fmt.Sscanf(h.Get(fieldLoad), "%d,%d,%d,%d", &r.Running, &r.Waiting, &r.Slots, &r.Slowness)
	r.Slowness *= spread.NormalSlowness / 100
	ms, _ := strconv.Atoi(h.Get(fieldCold))
	r.ColdFor = time.Duration(ms) * time.Millisecond
	return r, n == 4
}

func (dialect) Notice(status int, h http.Header) notice.Notice {
	n := notice.Notice{Leaving: h.Get(fieldLeaving) != ""}
	if status == http.StatusServiceUnavailable {
		n.Pause = header.RetryAfter(h)
	}
	return n
}

func (dialect) Clean(h http.Header) {
	h.Del(fieldLoad)
	h.Del(fieldLeaving)
}

// reply writes the response to a call, and reports whether the connection stays open.
type reply func(w io.Writer, r *http.Request, body []byte) bool

// backend is a backend server that replies to status checks, and to calls with replies.
type backend struct {
	id ident.ServerID
	ln net.Listener
	// load and cold are the fields of the reply to a status check. A silent backend does not reply to checks.
	load, cold string
	silent     bool
	// fields are further fields of that reply, and checks counts the status checks.
	fields string
	checks atomic.Int32

	mu      sync.Mutex
	replies []reply
	calls   []*http.Request
	bodies  [][]byte
	// closed receives a value when a connection has ended.
	closed chan struct{}
}

func newBackend(t *testing.T, id ident.ServerID, replies ...reply) *backend {
	b := &backend{id: id, load: "0,0,4,100", replies: replies, closed: make(chan struct{}, 16)}
	b.listen(t, b.serve)
	return b
}

// listen serves each connection until the test ends.
func (b *backend) listen(t *testing.T, serve func(net.Conn)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.ln = ln
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
}

// serve reads requests until the connection ends.
func (b *backend) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			select {
			case b.closed <- struct{}{}:
			default:
			}
			return
		}
		if r.URL.Path == "/health" {
			b.checks.Add(1)
		}
		if r.URL.Path == "/health" && b.isSilent() {
			continue
		}
		if r.URL.Path == "/health" {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n",
				fieldServer, b.id, fieldLoad, b.currentLoad(), fieldCold, b.cold, b.fields)
			continue
		}
		body, _ := io.ReadAll(r.Body)
		if !b.nextReply(r, body)(nc, r, body) {
			return
		}
	}
}

// nextReply records the call and returns the reply to it. The last reply is repeated.
func (b *backend) nextReply(r *http.Request, body []byte) reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls, b.bodies = append(b.calls, r), append(b.bodies, body)
	out := b.replies[0]
	if len(b.replies) > 1 {
		b.replies = b.replies[1:]
	}
	return out
}

// setLoad changes the load that the backend reports while it serves.
func (b *backend) setLoad(load string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = load
}

// setSilent makes the backend reply to checks or not while it serves.
func (b *backend) setSilent(silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = silent
}

func (b *backend) isSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent
}

func (b *backend) currentLoad() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calls)
}

func (b *backend) call(i int) (*http.Request, []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[i], b.bodies[i]
}

// respond replies with the status, the fields and a body.
func respond(status int, body string, fields ...string) reply {
	return func(w io.Writer, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(w, message(r.Header.Get(fieldRequest), status, body, fields...))
		return true
	}
}

// message returns a signed response with the id of the request.
func message(id string, status int, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: sig\r\nContent-Length: %d\r\n", status, fieldRequest, id, fieldSignature, len(body))
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head + "\r\n" + body
}

// raw replies with the text and closes the connection.
func raw(text string) reply {
	return func(w io.Writer, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(w, strings.ReplaceAll(text, "{id}", r.Header.Get(fieldRequest)))
		return false
	}
}

// hang sends no reply and keeps the connection open.
func hang() reply { return func(io.Writer, *http.Request, []byte) bool { return true } }

// shed replies that the call was not executed.
func shed() reply { return respond(http.StatusServiceUnavailable, "", fieldNotExecuted+": 1") }

// staticSnapshots always returns the same snapshot.
type staticSnapshots struct{ snap *spread.Snapshot }

func (s staticSnapshots) Load() *spread.Snapshot { return s.snap }

// liveSnapshots returns the snapshot that was stored last.
type liveSnapshots struct {
	atomic.Pointer[spread.Snapshot]
}

// recorder records the logged failures and the outcomes of tries.
type recorder struct {
	mu       sync.Mutex
	failures []logrus.Fields
	outcomes []route.TryOutcome
}

func (r *recorder) Success(string, logrus.Fields) {}

func (r *recorder) Failure(_ string, f logrus.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, f)
}

func (r *recorder) Observe(o route.TryOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// count returns the number of tries with the result.
func (r *recorder) count(result route.Result) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, o := range r.outcomes {
		if o.Result == result {
			n++
		}
	}
	return n
}

// harness has a handler, its backend servers and a caller.
type harness struct {
	t        *testing.T
	snap     *spread.Snapshot
	live     *liveSnapshots
	svc      *spread.Service
	recorder *recorder
	metrics  *edge.Metrics
	handler  *edge.Handler
	srv      *callerServer
	caller   *http.Client
	// timeout is the timeout of the requests.
	timeout time.Duration
	n       int
	// public is the path whose calls need no key.
	public string
}

// newHarness returns a harness with the routes /safe/ and /unsafe/, whose calls may be sent to two servers.
func newHarness(t *testing.T, backends ...*backend) *harness {
	now := time.Now()
	cfg := rules.New(7, rules.Limits{MaxBody: 1 << 20})
	for prefix, kind := range map[string]rules.Kind{"/safe/": rules.KindSafe, "/unsafe/": rules.KindUnsafe} {
		cfg.Add("host.example", &rules.Route{
			Name: ident.RouteName(strings.Trim(prefix, "/")), PathPrefix: prefix, Kind: kind, MaxServers: 2,
			Targets: []rules.Target{{Service: "svc", Weight: 1}}, Timeout: 400 * time.Millisecond, TargetLatency: 200 * time.Millisecond,
		})
	}
	svc := &spread.Service{
		Rules: &rules.Service{Name: "svc", HealthPath: "/health"}, TrialLimiter: spread.NewTrialLimiter(50, 2),
		RetryBudget: retry.NewSlidingWindow(200, 10, 10*time.Second, now),
	}
	for _, b := range backends {
		svc.Stable.Add(&spread.Server{
			ID: b.id, Address: netip.MustParseAddrPort(b.ln.Addr().String()), Slots: 4, Local: true, MaxConns: 8,
			State: spread.NewServerState(now),
		})
	}
	snap := &spread.Snapshot{
		Config: cfg, Services: map[ident.ServiceName]*spread.Service{"svc": svc}, Ready: true, CheckRate: 1000,
	}
	f := &harness{t: t, snap: snap, live: new(liveSnapshots), svc: svc, public: "/safe/", timeout: 500 * time.Millisecond, recorder: new(recorder), metrics: edge.NewMetrics(), caller: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	f.live.Store(snap)
	h := edge.New(f.live, dialect{}, f.recorder, clockwork.NewRealClock(), f.recorder, f.metrics)
	f.handler = h
	f.srv = newCallerServer(t, h)
	return f
}

// setTimeout sets the timeout of the routes and of later requests, for tests that are not about time.
func (f *harness) setTimeout(d time.Duration) {
	for _, p := range []string{"/safe/", "/unsafe/"} {
		f.snap.Config.Find("host.example", p).Timeout = d
	}
	f.timeout = d
}

// request returns a caller's request with the timeout of the harness.
func (f *harness) request(method, target string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(f.t.Context(), method, f.srv.URL+target, body)
	require.NoError(f.t, err)
	f.n++
	r.Host = "host.example"
	r.Header.Set(fieldRequest, "r"+strconv.Itoa(f.n))
	r.Header.Set(fieldTimeout, strconv.FormatInt(f.timeout.Milliseconds(), 10))
	return r
}

// do sends the request and returns the status, the body and the header.
func (f *harness) do(r *http.Request) (int, string, http.Header) {
	resp, err := f.caller.Do(r)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, string(b), resp.Header
}

// cause returns the logged cause of the last failed call.
func (f *harness) cause() any {
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	require.NotEmpty(f.t, f.recorder.failures)
	return f.recorder.failures[len(f.recorder.failures)-1]["cause"]
}
