package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/stats"
)

// via is the received-protocol and pseudonym for the Via header (RFC 9110, section 7.6.3).
const via = "1.1 goldcreststand"

// copySize is the size of the buffers for copying responses.
const copySize = 32 << 10

// runKey is the key of a run in a request's context.
type runKey struct{}

// forward carries out a call.
func (h *Handler) forward(c echo.Context) error {
	req := c.Request()
	call, err := parseCall(req, h.opts.Timeout, h.opts.Maximum)
	if err != nil {
		return refuse(c, http.StatusBadRequest, errorRequest, err.Error())
	}
	if req.Method == http.MethodConnect {
		return refuse(c, http.StatusNotImplemented, errorRequest, "tunnels are not supported")
	}
	snap := h.snapshots.Load()
	if h.elapsed.Elapsed() > snap.ValidUntil {
		return reject(c, errorInternal)
	}
	svc, ok := snap.Services[call.service]
	if !ok {
		return refuse(c, http.StatusNotFound, errorUnknown, "unknown service")
	}
	if !svc.Local && req.Header.Get(headerHop) != "" {
		return reject(c, errorLoop)
	}
	return h.carry(c, call, svc)
}

// carry runs a valid call through the reverse proxy, which follows RFC 9110 for hop-by-hop headers,
// trailers and streaming.
func (h *Handler) carry(c echo.Context, call call, svc *route.Service) error {
	x := &run{
		h: h, call: call, hop: !svc.Local, svc: h.services.find(call.service), start: h.clock.Now(),
		events: make(chan retry.Event), over: make(chan struct{}), result: "truncated",
	}
	x.deadline = x.start.Add(call.timeout)
	if x.hop {
		x.targets = newHopTargets(svc.InstanceAddresses)
	} else {
		x.targets = &serverTargets{h: h, call: call, timeout: call.timeout}
	}
	var err error
	x.body, err = readBody(c, call.idempotent, int64(h.opts.Buffer), x.deadline)
	if err != nil {
		return rejectBody(c, err)
	}
	defer func() {
		x.close()
		h.metrics.Observe(stats.Sample{
			Tenant: string(call.tenant), Class: strconv.Itoa(int(call.class)), Service: string(call.service),
			Result: x.result, Cause: x.cause, Latency: h.clock.Since(x.start),
		})
	}()
	req := c.Request()
	h.proxy.ServeHTTP(c.Response(), req.WithContext(context.WithValue(req.Context(), runKey{}, x)))
	if x.resp != nil {
		x.result = x.resultName()
	}
	return nil
}

// rejectBody answers that the caller's request was incomplete; nothing was sent to a server.
func rejectBody(c echo.Context, err error) error {
	status := http.StatusBadRequest
	if errors.Is(err, os.ErrDeadlineExceeded) {
		status = http.StatusRequestTimeout
	}
	return refuse(c, status, errorRequest, "request body is incomplete")
}

// resultName names the result of a call whose response was copied to the end.
func (x *run) resultName() string {
	if x.resp.StatusCode >= http.StatusInternalServerError {
		return "failed"
	}
	return "ok"
}

// newReverseProxy returns the reverse proxy whose round trips are runs.
func newReverseProxy(log Log) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite:      rewrite,
		Transport:    roundTripper{},
		ErrorHandler: writeError,
		ErrorLog:     errorLog(log),
		BufferPool:   &bufferPool{},
	}
}

// roundTripper carries out the run in the request's context.
type roundTripper struct{}

var _ http.RoundTripper = roundTripper{}

// RoundTrip returns the response for the caller, or a verdict as the error.
func (roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return req.Context().Value(runKey{}).(*run).carry(req)
}

func rewrite(pr *httputil.ProxyRequest) {
	x := pr.In.Context().Value(runKey{}).(*run)
	pr.Out.Host = pr.In.Host
	pr.Out.URL.RawQuery = pr.In.URL.RawQuery
	h := pr.Out.Header
	// The protocol of a connection is not changed: a connection carries one call at a time.
	h.Del("Connection")
	h.Del("Upgrade")
	h.Del(headerHop)
	if x.hop {
		h.Set(headerHop, "1")
	}
	h.Add("Via", via)
	for _, k := range []string{"Forwarded", "X-Forwarded-For"} {
		if v, ok := pr.In.Header[k]; ok {
			h[k] = v
		}
	}
	pr.SetXForwarded()
}

func writeError(w http.ResponseWriter, _ *http.Request, err error) {
	var v *verdict
	if !errors.As(err, &v) {
		v = &verdict{cause: retry.CauseBroken, executed: true}
	}
	if v.cause == retry.CauseGone {
		panic(http.ErrAbortHandler)
	}
	v.write(w)
}

// bufferPool keeps the buffers for copying responses.
type bufferPool struct{ pool sync.Pool }

var _ httputil.BufferPool = (*bufferPool)(nil)

// Get returns a buffer.
func (p *bufferPool) Get() []byte {
	if b, ok := p.pool.Get().(*[copySize]byte); ok {
		return b[:]
	}
	return make([]byte, copySize)
}

// Put takes a buffer back.
func (p *bufferPool) Put(b []byte) { p.pool.Put((*[copySize]byte)(b)) }
