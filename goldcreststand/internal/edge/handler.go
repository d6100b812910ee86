package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"goldcreststand.example/core/cross"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/lib/abort"
)

const (
	// defaultTimeout is the timeout of a request that has none.
	defaultTimeout = 30 * time.Second
	// retryAfter is the Retry-After time of a rejected call. Load shifts within milliseconds, and a short time lets
	// the caller retry before its own timeout.
	retryAfter = 30 * time.Millisecond
	// notReadyRetryAfter is the Retry-After time until this instance has its configuration.
	notReadyRetryAfter = 200 * time.Millisecond
	// writeGrace is the time after the deadline within which a caller must have read what was sent before.
	writeGrace = time.Second
)

// Snapshots provides the latest snapshot.
type Snapshots interface {
	Load() *spread.Snapshot
}

// Sink receives the outcomes of tries.
type Sink interface {
	Observe(o route.TryOutcome)
}

// Handler forwards the calls of callers to backend servers.
type Handler struct {
	snapshots Snapshots
	dialect   Dialect
	sink      Sink
	clock     clockwork.Clock
	log       Log
	metrics   *Metrics
	conns     *connSets
	checks    *rate.Limiter
	bodies    bodyMemory
	// usage counts the calls of tenants, or is nil.
	usage     Usage
	durations *spread.DurationEstimates
	queues    callQueues
	crossings crossings
	checker   checker
	seed      uint64
	calls     atomic.Uint64
	done      chan struct{}
}

var _ http.Handler = (*Handler)(nil)

// Option changes a handler.
type Option func(*Handler)

// WithBodyMemory limits the memory that the bodies of all callers' requests take together.
func WithBodyMemory(limit ident.Bytes) Option {
	return func(h *Handler) { h.bodies = newBodyMemory(limit) }
}

// WithBytePrice sets the price of the bytes between failure domains, in place of cross.DefaultBytePrice.
func WithBytePrice(p cross.BytePrice) Option {
	return func(h *Handler) { h.crossings.price = p }
}

// New returns a handler. Run must run while it serves.
func New(snapshots Snapshots, dialect Dialect, sink Sink, clock clockwork.Clock, log Log, m *Metrics, opts ...Option) *Handler {
	h := &Handler{
		snapshots: snapshots, dialect: dialect, sink: sink, clock: clock, log: log, metrics: m,
		conns: newConnSets(&net.Dialer{KeepAlive: -1}, clock), checks: rate.NewLimiter(rate.Inf, initialCheckBurst), durations: spread.NewDurationEstimates(), seed: rand.Uint64(),
		bodies: newBodyMemory(defaultBodyMemory), crossings: newCrossings(), done: make(chan struct{}),
	}
	h.checker = h
	for _, o := range opts {
		o(h)
	}
	return h
}

// Done is closed when Run has returned.
func (h *Handler) Done() <-chan struct{} { return h.done }

// Run closes idle connections and updates the limit of checks until the context ends.
func (h *Handler) Run(ctx context.Context) {
	defer close(h.done)
	defer h.conns.close()
	ticker := h.clock.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			h.conns.closeIdle(h.clock.Now())
			h.updateCheckLimit()
		case <-ctx.Done():
			return
		}
	}
}

// updateCheckLimit applies the maximum rate of status checks of the latest snapshot.
func (h *Handler) updateCheckLimit() {
	r := h.snapshots.Load().CheckRate
	if r <= 0 {
		// No server is known yet, and the checks of the start must not be lost.
		return
	}
	h.checks.SetLimit(rate.Limit(r))
	h.checks.SetBurst(int(r * checkBurstTime.Seconds()))
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.clock.Now()
	if t, ok := w.(turn); ok {
		arrived = arrived.Add(-t.Age())
	}
	snap := h.snapshots.Load()
	if snap.ShuttingDown {
		announceEnd(w)
	}
	c := &call{h: h, ctx: r.Context(), r: r, arrived: arrived}
	c.holder = holderOf(w)
	defer c.release()
	if rej := c.prepare(snap, w); rej != nil {
		h.reject(w, c, rej)
		return
	}
	c.run()
	h.finish(w, c)
}

// prepare validates and reads the request, and finds its route and service.
func (c *call) prepare(snap *spread.Snapshot, w http.ResponseWriter) *rejection {
	id, timeout, err := c.h.dialect.ReadRequest(c.r.Header)
	c.id = id
	if err != nil {
		return &rejection{status: http.StatusBadRequest, cause: causeInvalidRequest, err: err}
	}
	if !snap.Ready {
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNotReady, retryAfter: notReadyRetryAfter}
	}
	c.config = snap.Config.Version
	if c.route = findRoute(snap.Config, c.r); c.route == nil {
		return &rejection{status: http.StatusNotFound, cause: causeNoRoute}
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	if rej := c.authorize(snap.Config, w); rej != nil {
		return rej
	}
	if !snap.Stop.Accepts(c.arrived, c.deadline) {
		return stoppingRejection()
	}
	if limit := int64(snap.Config.Limits.MaxHeader); limit > 0 && headerSize(c.r) > limit {
		return &rejection{status: http.StatusRequestHeaderFieldsTooLarge, cause: causeTooLarge}
	}
	if rej := c.startInTurn(w); rej != nil {
		return rej
	}
	if rej := c.readBody(snap, w); rej != nil {
		return rej
	}
	// The call may have been read early in a stop, and have waited for its turn or its body since.
	if !c.h.snapshots.Load().Stop.Accepts(c.h.clock.Now(), c.deadline) {
		return stoppingRejection()
	}
	c.holder.BodyRead()
	return c.selectService(snap)
}

// findRoute returns the route of a request, or nil.
func findRoute(cfg *rules.Config, r *http.Request) *rules.Route {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return cfg.Find(rules.Host(r.Host), path)
}

// headerSize returns the size of a request's header in HTTP/1.1.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// readBody reads the whole body. The call can then be sent again, and a closed connection is detected.
func (c *call) readBody(snap *spread.Snapshot, w http.ResponseWriter) *rejection {
	limit := int64(snap.Config.Limits.MaxBody)
	if c.r.ContentLength == 0 {
		return nil
	}
	if limit > 0 && c.r.ContentLength > limit {
		return &rejection{status: http.StatusRequestEntityTooLarge, cause: causeTooLarge}
	}
	// Writers without a connection, as in tests of the handler alone, have no deadline.
	_ = http.NewResponseController(w).SetReadDeadline(c.deadline)
	stream := c.r.Body
	if limit > 0 {
		stream = http.MaxBytesReader(w, stream, limit)
	}
	err := c.body.read(stream, c.r.ContentLength, c.h.bodies, c.holder)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNoMemory, retryAfter: retryAfter, err: err}
	case errors.As(err, &tooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, cause: causeTooLarge}
	case err != nil && isTimeout(err):
		return &rejection{status: http.StatusRequestTimeout, cause: causeSlowBody, err: err}
	case err != nil:
		return &rejection{cause: causeCallerDisconnected, err: err}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

// selectService selects the service by the weights of the route, and removes the hop-by-hop fields of the request.
func (c *call) selectService(snap *spread.Snapshot) *rejection {
	name, ok := c.route.PickService(c.h.rng())
	if !ok {
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNoServer, retryAfter: retryAfter}
	}
	c.service = name
	if c.svc = snap.Services[name]; c.svc == nil {
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNoServer, retryAfter: retryAfter}
	}
	c.admission = c.newAdmission(snap)
	removeHopByHopFields(c.r.Header)
	return nil
}

// hopByHopFields returns the header fields that apply to a single connection (RFC 9110, section 7.6.1).
func hopByHopFields() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Proxy-Authenticate", "Proxy-Authorization",
	}
}

func removeHopByHopFields(h http.Header) {
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(f))
		}
	}
	for _, f := range hopByHopFields() {
		delete(h, f)
	}
}

// finish returns the server's response or a rejection to the caller.
func (h *Handler) finish(w http.ResponseWriter, c *call) {
	switch {
	case c.final != nil && claimsNotExecuted(c.final):
		// Callers take this status as a statement that the call was not executed.
		h.reject(w, c, &rejection{status: http.StatusBadGateway, cause: causeServerError})
	case c.final != nil && c.final.rest != nil && c.awaitTurn(w) != nil:
		// The rest of a long response is not read before its turn, and its connection ends at the deadline.
		h.reject(w, c, c.lateRejection())
	case c.final != nil:
		h.recordResponse(c)
		h.copy(w, c)
	default:
		h.reject(w, c, c.rejection())
	}
}

// reject records the rejection before it writes it, because closing the caller's connection panics.
func (h *Handler) reject(w http.ResponseWriter, c *call, r *rejection) {
	h.recordRejection(c, r)
	r.write(w)
}

// claimsNotExecuted reports whether callers take the status as a statement that the call was not executed, although
// the server did not state it.
func claimsNotExecuted(r *response) bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !r.notExecuted
	default:
		return false
	}
}

// lateRejection returns the rejection of a call whose response could not be returned by its deadline.
func (c *call) lateRejection() *rejection {
	if c.callerDisconnected() {
		return &rejection{cause: causeCallerDisconnected, err: context.Cause(c.ctx)}
	}
	return &rejection{status: http.StatusGatewayTimeout, cause: causeTimeout}
}

// copy writes the server's response to the caller. If the response is truncated, it aborts the caller's connection.
func (h *Handler) copy(w http.ResponseWriter, c *call) {
	r := c.final
	out := w.Header()
	removeHopByHopFields(r.header)
	h.dialect.Clean(r.header)
	for k, v := range r.header {
		out[k] = v
	}
	// Keep the server from adding fields that the backend server did not send.
	for _, k := range []string{"Content-Type", "Date"} {
		if _, ok := out[k]; !ok {
			out[k] = nil
		}
	}
	if r.rest == nil && c.r.Method != http.MethodHead && r.status != http.StatusNoContent && r.status != http.StatusNotModified {
		out.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	c.holder.HoldAnswer(ident.Bytes(len(r.body)))
	w.WriteHeader(r.status)
	if r.rest == nil {
		_, _ = w.Write(r.body)
		return
	}
	// The connection to the server fails at the deadline; a caller that does not read must not outlast it.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeGrace))
	_, err := w.Write(r.body)
	if err == nil {
		_, err = io.Copy(w, r.rest)
	}
	r.closeRest()
	if err != nil {
		abort.Response(w, c.r)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}

// rejection returns the rejection of a call without a response.
func (c *call) rejection() *rejection {
	pause, paused := c.retryPool().Unavailable(c.h.clock.Now())
	switch {
	case c.cause == retry.CauseGone || c.callerDisconnected():
		return &rejection{cause: causeCallerDisconnected, err: context.Cause(c.ctx)}
	case c.maybeExecuted && c.isStopped():
		return &rejection{status: http.StatusBadGateway, cause: causeStopping}
	case c.isStopped():
		return stoppingRejection()
	case c.maybeExecuted && c.cause == retry.CauseDeadline:
		return &rejection{status: http.StatusGatewayTimeout, cause: causeTimeout}
	case c.maybeExecuted:
		return &rejection{status: http.StatusBadGateway, cause: causeBadResponse}
	case c.auth.revoked:
		return &rejection{status: http.StatusUnauthorized, cause: causeUnauthorized, err: errKeyRevoked}
	}
	after := c.retryAfter()
	switch {
	case paused:
		return &rejection{status: http.StatusServiceUnavailable, cause: causePaused, retryAfter: max(after, pause)}
	case c.cause == retry.CauseShed:
		return &rejection{status: http.StatusServiceUnavailable, cause: causeShed, retryAfter: after}
	case c.refusal != causeNone:
		return &rejection{status: http.StatusServiceUnavailable, cause: c.refusal, retryAfter: after}
	case c.saturated:
		return &rejection{status: http.StatusServiceUnavailable, cause: causeSaturated, retryAfter: after}
	default:
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNoServer, retryAfter: after}
	}
}
