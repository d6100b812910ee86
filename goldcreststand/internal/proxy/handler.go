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
	"goldcreststand.example/core/rules"
	"goldcreststand.example/lib/stats"
	"goldcreststand.example/schema/wire"
)

// LookupPath is the well-known path (RFC 8615) at which callers look up the instances that serve a service.
const LookupPath = "/.well-known/goldcreststand/entries"

// idleCheckInterval is the time between two checks for idle connections.
const idleCheckInterval = time.Second

// Snapshots provides the newest snapshot.
type Snapshots interface {
	Load() *route.Snapshot
}

// ElapsedClock returns the time since the machine was booted, including the time for which it was suspended.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// Options are the settings of a Handler.
type Options struct {
	// DefaultTimeout is the timeout of a call that sets none.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest timeout that a call may set.
	MaxTimeout time.Duration
	// LookupTTL is the time for which a caller may cache a lookup response.
	LookupTTL time.Duration
	// MaxBufferedBody is the largest request body that is buffered for retries.
	MaxBufferedBody ident.Bytes
	// RetryRatio is the ratio of retries and hedges to the calls of a service.
	RetryRatio ident.Share
}

// Handler is the HTTP handler for callers.
type Handler struct {
	opts      Options
	snapshots Snapshots
	admission *Admission
	elapsed   ElapsedClock
	clock     clockwork.Clock
	log       Log
	metrics   *stats.CallMetrics
	dialer    Dialer
	sink      OutcomeSink

	pools        *connPools
	services     *serviceStates
	reporter     *outcomeReporter
	reverseProxy *httputil.ReverseProxy
	echo         *echo.Echo
	done         chan struct{}
}

var _ http.Handler = (*Handler)(nil)

// New returns a Handler. Run must run while it serves requests.
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
		services:  &serviceStates{retryRatio: opts.RetryRatio},
		done:      make(chan struct{}),
	}
	for _, o := range options {
		o(h)
	}
	h.pools = newConnPools(h.dialer, h.clock)
	h.reporter = newOutcomeReporter(h.sink, h.metrics)
	h.reverseProxy = newReverseProxy(h.log)
	h.echo = echo.New()
	h.echo.GET(LookupPath, h.lookup)
	h.echo.Any("/*", h.forward)
	return h
}

// Kind returns the kind of a call, by which the calls of a connection are served concurrently or one after the other.
func (*Handler) Kind(r *http.Request) rules.Kind {
	if idempotent(r) {
		return rules.KindSafe
	}
	return rules.KindUnsafe
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.echo.ServeHTTP(w, r) }

// Done is closed when Run has returned.
func (h *Handler) Done() <-chan struct{} { return h.done }

// Run closes idle connections and passes outcomes to control until the context ends.
func (h *Handler) Run(ctx context.Context) {
	defer close(h.done)
	defer h.pools.close()
	defer h.reporter.flush()
	ticker := h.clock.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-h.reporter.batchStarted:
			due = h.clock.After(batchDelay)
		case <-due:
			due = nil
			h.reporter.flush()
		case <-ticker.Chan():
			h.pools.closeIdle()
		case <-ctx.Done():
			return
		}
	}
}

// lookup responds with the instances that serve a service.
func (h *Handler) lookup(c echo.Context) error {
	var name ident.ServiceName
	if err := name.UnmarshalText([]byte(c.QueryParam("service"))); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s, ok := h.snapshots.Load().Services[name]
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "unknown service")
	}
	seconds := int(h.opts.LookupTTL / time.Second)
	c.Response().Header().Set("Cache-Control", "max-age="+strconv.Itoa(seconds))
	return c.JSON(http.StatusOK, wire.Entries{Service: name, Addresses: s.InstanceAddresses, Lifetime: seconds})
}
