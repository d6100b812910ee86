package edge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/goldcreststand/internal/edge"
)

// Header fields of the tests' dialect.
const (
	fieldRequest     = "Request-Id"
	fieldPatience    = "Patience-Ms"
	fieldTarget      = "Target"
	fieldSignature   = "Signature"
	fieldNotExecuted = "Not-Executed"
	fieldServer      = "Server-Id"
	fieldLoad        = "Load"
	fieldCold        = "Cold-Ms"
)

// dialect has the fields above; the load is running, waiting, slots and slowness in per cent.
type dialect struct{}

var _ edge.Dialect = dialect{}

func (dialect) ReadRequest(h http.Header) (ident.RequestID, time.Duration, error) {
	ms, err := strconv.Atoi(h.Get(fieldPatience))
	if err == nil && h.Get(fieldRequest) == "" {
		err = errors.New("no id")
	}
	return ident.RequestID(h.Get(fieldRequest)), time.Duration(ms) * time.Millisecond, err
}

func (dialect) Prepare(h http.Header, to ident.ServerID, left time.Duration) {
	h.Set(fieldTarget, string(to))
	h.Set(fieldPatience, strconv.FormatInt(left.Milliseconds(), 10))
}

func (dialect) RequestID(h http.Header) ident.RequestID { return ident.RequestID(h.Get(fieldRequest)) }

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

func (dialect) Clean(h http.Header) { h.Del(fieldLoad) }

// reply writes a response to a call to the connection. It reports whether the connection stays open.
type reply func(w io.Writer, r *http.Request, body []byte) bool

// backend is a backend server that replies to status checks, and to calls as the test wants.
type backend struct {
	id   ident.ServerID
	sock net.Listener
	// load and cold are the fields of the status check; a silent backend does not reply to one.
	load, cold string
	silent     bool

	mu      sync.Mutex
	replies []reply
	calls   []*http.Request
	bodies  [][]byte
	// closed gets a value when a connection has ended.
	closed chan struct{}
}

func newBackend(t *testing.T, id ident.ServerID, replies ...reply) *backend {
	b := &backend{id: id, load: "0,0,4,100", replies: replies, closed: make(chan struct{}, 16)}
	b.listen(t, b.serve)
	return b
}

// listen serves each connection until the test ends.
func (b *backend) listen(t *testing.T, serve func(net.Conn)) {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.sock = sock
	t.Cleanup(func() { _ = sock.Close() })
	go func() {
		for {
			nc, err := sock.Accept()
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
		if r.URL.Path == "/health" && b.silent {
			continue
		}
		if r.URL.Path == "/health" {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				fieldServer, b.id, fieldLoad, b.load, fieldCold, b.cold)
			continue
		}
		body, _ := io.ReadAll(r.Body)
		if !b.next(r, body)(nc, r, body) {
			return
		}
	}
}

// next notes the call and returns the reply to it; the last one is repeated.
func (b *backend) next(r *http.Request, body []byte) reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls, b.bodies = append(b.calls, r), append(b.bodies, body)
	out := b.replies[0]
	if len(b.replies) > 1 {
		b.replies = b.replies[1:]
	}
	return out
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

// message is a response that names the request and is signed.
func message(id string, status int, body string, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: sig\r\nContent-Length: %d\r\n", status, fieldRequest, id, fieldSignature, len(body))
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head + "\r\n" + body
}

// raw replies with the bytes and closes the connection.
func raw(text string) reply {
	return func(w io.Writer, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(w, strings.ReplaceAll(text, "{id}", r.Header.Get(fieldRequest)))
		return false
	}
}

// hang replies nothing and keeps the connection open.
func hang() reply { return func(io.Writer, *http.Request, []byte) bool { return true } }

// shed says that the call was not executed.
func shed() reply { return respond(http.StatusServiceUnavailable, "", fieldNotExecuted+": 1") }

// views is a view that does not change.
type views struct{ v *spread.Snapshot }

func (s views) Load() *spread.Snapshot { return s.v }

// memo keeps the lines about calls and the outcomes of tries.
type memo struct {
	mu       sync.Mutex
	failures []logrus.Fields
	outcomes []route.TryOutcome
}

func (m *memo) Success(string, logrus.Fields) {}

func (m *memo) Failure(_ string, f logrus.Fields) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = append(m.failures, f)
}

func (m *memo) Observe(o route.TryOutcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes = append(m.outcomes, o)
}

// front is a handler with its servers, and a caller.
type front struct {
	t      *testing.T
	view   *spread.Snapshot
	svc    *spread.Service
	memo   *memo
	srv    *httptest.Server
	caller *http.Client
	n      int
}

// newFront returns a front with the routes /safe/ and /unsafe/, whose calls may go to two servers.
func newFront(t *testing.T, backends ...*backend) *front {
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
			ID: b.id, Address: netip.MustParseAddrPort(b.sock.Addr().String()), Slots: 4, Local: true, MaxConns: 8,
			State: spread.NewServerState(now),
		})
	}
	view := &spread.Snapshot{
		Config: cfg, Services: map[ident.ServiceName]*spread.Service{"svc": svc}, Ready: true, CheckRate: 1000,
	}
	f := &front{t: t, view: view, svc: svc, memo: new(memo), caller: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	h := edge.New(views{view}, dialect{}, f.memo, clockwork.NewRealClock(), f.memo, edge.NewMetrics())
	f.srv = httptest.NewServer(h)
	t.Cleanup(f.srv.Close)
	return f
}

// request returns a caller's request that waits for half a second.
func (f *front) request(method, target string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(f.t.Context(), method, f.srv.URL+target, body)
	require.NoError(f.t, err)
	f.n++
	r.Host = "host.example"
	r.Header.Set(fieldRequest, "r"+strconv.Itoa(f.n))
	r.Header.Set(fieldPatience, "500")
	return r
}

// do sends the request and returns the status, the body and the header.
func (f *front) do(r *http.Request) (int, string, http.Header) {
	resp, err := f.caller.Do(r)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, string(b), resp.Header
}

// cause returns why the last call failed, by its line.
func (f *front) cause() any {
	f.memo.mu.Lock()
	defer f.memo.mu.Unlock()
	require.NotEmpty(f.t, f.memo.failures)
	return f.memo.failures[len(f.memo.failures)-1]["cause"]
}
