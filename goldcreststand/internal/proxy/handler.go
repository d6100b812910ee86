package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/stats"
	"goldcreststand.example/schema/wire"
)

// LookupPath is the path at which callers ask which instances serve a service (RFC 8615).
const LookupPath = "/.well-known/goldcreststand/entries"

// reapInterval is the time between two searches for idle connections.
const reapInterval = time.Second

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
	// Buffer is the largest request body that is kept for a second try.
	Buffer ident.Bytes
	// Resend is the share of the calls of a service that may be sent again.
	Resend ident.Share
}

// Handler serves callers.
type Handler struct {
	opts      Options
	snapshots Snapshots
	admission *Admission
	elapsed   ElapsedClock
	clock     clockwork.Clock
	log       Log
	metrics   *stats.CallMetrics
	dialer    Dialer
	sink      Sink

	conns    *connSets
	services *services
	reporter *reporter
	proxy    *httputil.ReverseProxy
	echo     *echo.Echo
	done     chan struct{}
}

var _ http.Handler = (*Handler)(nil)

// New returns the HTTP interface for callers. Run must run while it serves.
func New(opts Options, s Snapshots, a *Admission, elapsed ElapsedClock, options ...Option) *Handler {
	h := &Handler{
		opts:      opts,
		snapshots: s,
		admission: a,
		elapsed:   elapsed,
		clock:     clockwork.NewRealClock(),
		log:       noLog{},
		metrics:   stats.New(),
		dialer:    &net.Dialer{},
		sink:      noSink{},
		services:  &services{resend: opts.Resend},
		done:      make(chan struct{}),
	}
	for _, o := range options {
		o(h)
	}
	h.conns = newConnSets(h.dialer, h.clock)
	h.reporter = newReporter(h.sink, h.metrics)
	h.proxy = newReverseProxy(h.log)
	h.echo = echo.New()
	h.echo.GET(LookupPath, h.lookup)
	h.echo.Any("/*", h.forward)
	return h
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.echo.ServeHTTP(w, r) }

// Done is closed when Run has returned.
func (h *Handler) Done() <-chan struct{} { return h.done }

// Run closes idle connections and hands outcomes to control until the context ends.
func (h *Handler) Run(ctx context.Context) {
	defer close(h.done)
	defer h.conns.close()
	defer h.reporter.flush()
	ticker := h.clock.NewTicker(reapInterval)
	defer ticker.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-h.reporter.kick:
			due = h.clock.After(batchDelay)
		case <-due:
			due = nil
			h.reporter.flush()
		case <-ticker.Chan():
			h.conns.reap()
		case <-ctx.Done():
			return
		}
	}
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
	return c.JSON(http.StatusOK, wire.Entries{Service: name, Addresses: s.InstanceAddresses, Lifetime: seconds})
}
