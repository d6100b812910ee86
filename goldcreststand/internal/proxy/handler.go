package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/schema/wire"
)

// LookupPath is the path at which callers ask which instances serve a service (RFC 8615).
const LookupPath = "/.well-known/goldcreststand/entries"

// Snapshots gives the newest snapshot.
type Snapshots interface {
	Load() *route.Snapshot
}

// Picker chooses a backend server and takes a slot there. It returns nil when no slot is free.
type Picker interface {
	Pick(servers []*route.Server, rng *rand.Rand) *route.Server
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
	picker    Picker
	elapsed   ElapsedClock
	transport http.RoundTripper
}

// New returns the HTTP interface for callers.
func New(opts Options, s Snapshots, p Picker, elapsed ElapsedClock) http.Handler {
	h := &Handler{
		opts:      opts,
		snapshots: s,
		picker:    p,
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
	srv := h.picker.Pick(svc.Servers, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if srv == nil {
		return reject(c, "connection_limit_reached")
	}
	defer srv.Load.Release()
	ctx, cancel := context.WithTimeout(req.Context(), call.timeout)
	defer cancel()
	out := req.Clone(ctx)
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", srv.Address.String(), ""
	out.Header.Set(headerTimeout, strconv.FormatInt(call.timeout.Milliseconds(), 10))
	resp, err := h.transport.RoundTrip(out)
	if err != nil {
		return unknown(c)
	}
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

// reject answers that the call was rejected and not executed.
func reject(c echo.Context, cause string) error {
	c.Response().Header().Set("Retry-After", "1")
	c.Response().Header().Set(headerProxyStatus, "goldcreststand; error="+cause+"; executed=no")
	return c.NoContent(http.StatusServiceUnavailable)
}

// unknown answers that the call may have been executed.
func unknown(c echo.Context) error {
	c.Response().Header().Set(headerProxyStatus, "goldcreststand; error=connection_terminated; executed=unknown")
	return c.NoContent(http.StatusBadGateway)
}
