package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/abort"
	"goldcreststand.example/lib/stats"
)

// via is the value that is added to the Via header (RFC 9110, section 7.6.3).
const via = "1.1 goldcreststand"

// copySize is the size of the buffers for copying response bodies.
const copySize = 32 << 10

// forwardedCallKey is the context key of a request's forwardedCall.
type forwardedCallKey struct{}

// forward validates a call and forwards it.
func (h *Handler) forward(c echo.Context) error {
	req := c.Request()
	params, err := parseCallParams(req, h.opts.DefaultTimeout, h.opts.MaxTimeout)
	if err != nil {
		return respondInvalid(c, http.StatusBadRequest, errorInvalidRequest, err.Error())
	}
	if req.Method == http.MethodConnect {
		return respondInvalid(c, http.StatusNotImplemented, errorInvalidRequest, "tunnels are not supported")
	}
	snap := h.snapshots.Load()
	if h.elapsed.Elapsed() > snap.ValidUntil {
		return respondRejected(c, errorInternal)
	}
	svc, ok := snap.Services[params.service]
	if !ok {
		return respondInvalid(c, http.StatusNotFound, errorServiceNotFound, "unknown service")
	}
	if !svc.Local && req.Header.Get(headerHop) != "" {
		return respondRejected(c, errorLoop)
	}
	return h.proxyCall(c, params, svc)
}

// proxyCall forwards a valid call through the reverse proxy, which handles hop-by-hop headers, trailers and
// streaming as RFC 9110 requires.
func (h *Handler) proxyCall(c echo.Context, params callParams, svc *route.Service) error {
	call := &forwardedCall{
		h: h, params: params, extraHop: !svc.Local, svcState: h.services.get(params.service), start: h.readAt(c),
		events: make(chan retry.Event), eventsClosed: make(chan struct{}), result: "truncated",
	}
	call.deadline = call.start.Add(params.timeout)
	if call.extraHop {
		call.selector = newInstanceSelector(svc.InstanceAddresses)
	} else {
		call.selector = &serverSelector{h: h, params: params, timeout: params.timeout}
	}
	var err error
	call.body, err = readBody(c, params.idempotent, int64(h.opts.MaxBufferedBody), call.deadline)
	if err != nil {
		return respondBodyError(c, err)
	}
	defer func() {
		call.close()
		h.metrics.Observe(stats.Sample{
			Tenant: string(params.tenant), Class: strconv.Itoa(int(params.class)), Service: string(params.service),
			Result: call.result, Cause: call.cause, Latency: h.clock.Since(call.start),
		})
	}()
	req := c.Request()
	// The reverse proxy panics when the server's response breaks off.
	defer func() {
		switch p := recover(); p {
		case nil:
		case http.ErrAbortHandler:
			abort.Response(c.Response(), req)
		default:
			panic(p)
		}
	}()
	h.reverseProxy.ServeHTTP(c.Response(), req.WithContext(context.WithValue(req.Context(), forwardedCallKey{}, call)))
	if call.resp != nil {
		call.result = call.resultName()
	}
	return nil
}

// readAt returns the time at which the call was read. It may have waited for earlier calls of its connection since.
func (h *Handler) readAt(c echo.Context) time.Time {
	now := h.clock.Now()
	if w, ok := c.Response().Writer.(interface{ Age() time.Duration }); ok {
		return now.Add(-w.Age())
	}
	return now
}

// respondBodyError responds that the body of the request was incomplete. Nothing was sent to a server.
func respondBodyError(c echo.Context, err error) error {
	status := http.StatusBadRequest
	if errors.Is(err, os.ErrDeadlineExceeded) {
		status = http.StatusRequestTimeout
	}
	return respondInvalid(c, status, errorInvalidRequest, "request body is incomplete")
}

// resultName returns the metrics label of a call whose response was copied to its end.
func (c *forwardedCall) resultName() string {
	if c.resp.StatusCode >= http.StatusInternalServerError {
		return "failed"
	}
	return "ok"
}

// newReverseProxy returns a reverse proxy that sends each request through its forwardedCall.
func newReverseProxy(log Log) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite:      rewrite,
		Transport:    roundTripper{},
		ErrorHandler: writeError,
		ErrorLog:     errorLog(log),
		BufferPool:   &bufferPool{},
	}
}

// roundTripper sends a request through the forwardedCall in its context.
type roundTripper struct{}

var _ http.RoundTripper = roundTripper{}

// RoundTrip returns the response for the caller or a *callError.
func (roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return req.Context().Value(forwardedCallKey{}).(*forwardedCall).roundTrip(req)
}

func rewrite(pr *httputil.ProxyRequest) {
	call := pr.In.Context().Value(forwardedCallKey{}).(*forwardedCall)
	pr.Out.Host = pr.In.Host
	pr.Out.URL.RawQuery = pr.In.URL.RawQuery
	h := pr.Out.Header
	// Protocol upgrades are not supported: a connection carries one call at a time.
	h.Del("Connection")
	h.Del("Upgrade")
	h.Del(headerHop)
	if call.extraHop {
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
	var e *callError
	if !errors.As(err, &e) {
		e = &callError{cause: retry.CauseBroken, maybeExecuted: true}
	}
	if e.cause == retry.CauseGone {
		panic(http.ErrAbortHandler)
	}
	e.write(w)
}

// bufferPool reuses buffers for copying response bodies.
type bufferPool struct{ pool sync.Pool }

var _ httputil.BufferPool = (*bufferPool)(nil)

// Get returns a buffer.
func (p *bufferPool) Get() []byte {
	if b, ok := p.pool.Get().(*[copySize]byte); ok {
		return b[:]
	}
	return make([]byte, copySize)
}

// Put returns a buffer to the pool.
func (p *bufferPool) Put(b []byte) { p.pool.Put((*[copySize]byte)(b)) }
