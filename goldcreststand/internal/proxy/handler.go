package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
	"goldcreststand.example/schema/wire"
)

// LookupPath is the path at which callers ask which instances serve a service (RFC 8615).
const LookupPath = "/.well-known/goldcreststand/entries"

// Snapshots gives the newest snapshot.
type Snapshots interface {
	Load() *route.Snapshot
}

// ElapsedClock reads the time since the machine's start, pauses included.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// Options are the settings of a Handler.
type Options struct {
	// Timeout is the deadline of a call that names none.
	Timeout time.Duration
	// Maximum is the longest deadline that a call may name.
	Maximum time.Duration
	// Lifetime is the time for which a caller may keep a lookup response.
	Lifetime time.Duration
}

// Handler serves callers.
type Handler struct {
	opts      Options
	snapshots Snapshots
	admission *Admission
	elapsed   ElapsedClock
	transport http.RoundTripper
}

// New returns the HTTP interface for callers.
func New(opts Options, s Snapshots, a *Admission, elapsed ElapsedClock) http.Handler {
	h := &Handler{
		opts:      opts,
		snapshots: s,
		admission: a,
		elapsed:   elapsed,
		// A transport that reuses connections may resend a request by itself.
		transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	e := echo.New()
	e.GET(LookupPath, h.lookup)
	e.Any("/*", h.forward)
	return e
}

// lookup answers which instances serve a service.
func (h *Handler) lookup(c echo.Context) error {
	var name ident.ServiceName
	if err := name.UnmarshalText([]byte(c.QueryParam("service"))); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s, ok := h.snapshots.Load().Services[name]
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "unknown service")
	}
	seconds := int(h.opts.Lifetime / time.Second)
	c.Response().Header().Set("Cache-Control", "max-age="+strconv.Itoa(seconds))
	return c.JSON(http.StatusOK, wire.Entries{Service: name, Addresses: s.Entries, Lifetime: seconds})
}

// forward sends the call to a backend server and copies the response.
func (h *Handler) forward(c echo.Context) error {
	req := c.Request()
	call, err := parseCall(req, h.opts.Timeout, h.opts.Maximum)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	snap := h.snapshots.Load()
	if h.elapsed.Elapsed() > snap.ValidUntil {
		return reject(c, "proxy_internal_error")
	}
	svc, ok := snap.Services[call.service]
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "unknown service")
	}
	ctx, cancel := context.WithTimeout(req.Context(), call.timeout)
	defer cancel()
	deadline := h.elapsed.Elapsed() + call.timeout
	slot, err := h.admission.Acquire(ctx, svc, limit.Call{Tenant: call.tenant, Class: call.class, Deadline: deadline})
	if err != nil {
		return rejectCall(c, err)
	}
	out := req.Clone(ctx)
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", slot.Server.Address.String(), ""
	out.Header.Set(headerTimeout, strconv.FormatInt(max(1, (deadline-h.elapsed.Elapsed()).Milliseconds()), 10))
	resp, err := h.transport.RoundTrip(out)
	if err != nil {
		slot.Release(route.Outcome{Result: route.ResultBroken})
		return unknown(c)
	}
	result := route.ResultOK
	if resp.StatusCode >= http.StatusInternalServerError {
		result = route.ResultFailed
	}
	defer slot.Release(route.Outcome{Result: result})
	return copyResponse(c, resp)
}

// copyResponse copies the server's response. When the body ends early, the caller's connection is
// broken, so that a truncated response is never taken for a complete one.
func copyResponse(c echo.Context, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	for k, vs := range resp.Header {
		c.Response().Header()[k] = vs
	}
	c.Response().WriteHeader(resp.StatusCode)
	if _, err := io.Copy(c.Response(), resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// rejectCall answers that the call got no slot and was not executed.
func rejectCall(c echo.Context, err error) error {
	var r *RejectError
	if errors.As(err, &r) && r.Verdict == limit.VerdictTenant {
		return rejectWith(c, http.StatusTooManyRequests, "connection_limit_reached")
	}
	return reject(c, "connection_limit_reached")
}

// reject answers that the call was rejected and not executed.
func reject(c echo.Context, cause string) error {
	return rejectWith(c, http.StatusServiceUnavailable, cause)
}

func rejectWith(c echo.Context, status int, cause string) error {
	c.Response().Header().Set("Retry-After", "1")
	c.Response().Header().Set(headerProxyStatus, "goldcreststand; error="+cause+"; executed=no")
	return c.NoContent(status)
}

// unknown answers that the call may have been executed.
func unknown(c echo.Context) error {
	c.Response().Header().Set(headerProxyStatus, "goldcreststand; error=connection_terminated; executed=unknown")
	return c.NoContent(http.StatusBadGateway)
}
