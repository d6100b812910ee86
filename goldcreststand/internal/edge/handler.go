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

	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
)

const (
	// defaultPatience is the time for which a caller waits that does not name one.
	defaultPatience = 30 * time.Second
	// retryAfter is the time after which a caller whose call was rejected is asked to come back. Load
	// shifts within milliseconds, and a short time leaves a caller with time for another try.
	retryAfter = 30 * time.Millisecond
	// startRetryAfter is the same while this instance does not know its configuration yet.
	startRetryAfter = 200 * time.Millisecond
)

// Views gives the newest view.
type Views interface {
	Load() *spread.Snapshot
}

// Sink takes the outcomes of tries.
type Sink interface {
	Observe(o route.TryOutcome)
}

// Handler serves callers.
type Handler struct {
	views   Views
	dialect Dialect
	sink    Sink
	clock   clockwork.Clock
	log     Log
	metrics *Metrics
	links   *links
	checks  *rate.Limiter
	works   *spread.DurationEstimates
	seed    uint64
	calls   atomic.Uint64
	done    chan struct{}
}

var _ http.Handler = (*Handler)(nil)

// New returns the handler for callers. Run must run while it serves.
func New(v Views, d Dialect, s Sink, clock clockwork.Clock, log Log, m *Metrics) *Handler {
	return &Handler{
		views: v, dialect: d, sink: s, clock: clock, log: log, metrics: m,
		links: newLinks(&net.Dialer{KeepAlive: -1}, clock), checks: rate.NewLimiter(rate.Inf, startChecks), works: spread.NewDurationEstimates(), seed: rand.Uint64(),
		done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (h *Handler) Done() <-chan struct{} { return h.done }

// Run closes idle links until the context ends.
func (h *Handler) Run(ctx context.Context) {
	defer close(h.done)
	defer h.links.close()
	ticker := h.clock.NewTicker(reapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			h.links.reap(h.clock.Now())
			h.limitChecks()
		case <-ctx.Done():
			return
		}
	}
}

// limitChecks follows the number of status checks that this instance may make.
func (h *Handler) limitChecks() {
	r := h.views.Load().CheckRate
	h.checks.SetLimit(rate.Limit(r))
	h.checks.SetBurst(int(r * checkBurst.Seconds()))
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.clock.Now()
	view := h.views.Load()
	if view.ShuttingDown {
		w.Header().Set("Connection", "close")
	}
	c := &call{h: h, ctx: r.Context(), r: r, arrived: arrived}
	if rej := c.prepare(view, w); rej != nil {
		h.reject(w, c, rej)
		return
	}
	c.run()
	h.finish(w, c)
}

// prepare reads the request and finds its route.
func (c *call) prepare(view *spread.Snapshot, w http.ResponseWriter) *rejection {
	id, patience, err := c.h.dialect.ReadRequest(c.r.Header)
	c.id = id
	if err != nil {
		return &rejection{status: http.StatusBadRequest, cause: causeInvalid, err: err}
	}
	if !view.Ready {
		return &rejection{status: http.StatusServiceUnavailable, cause: causeStarting, after: startRetryAfter}
	}
	c.config = view.Config.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = view.Config.Find(rules.Host(c.r.Host), path)
	if c.route == nil {
		return &rejection{status: http.StatusNotFound, cause: causeNoRoute}
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(patience)
	if limit := int64(view.Config.Limits.MaxHeader); limit > 0 && headerSize(c.r) > limit {
		return &rejection{status: http.StatusRequestHeaderFieldsTooLarge, cause: causeTooLarge}
	}
	if rej := c.readBody(view, w); rej != nil {
		return rej
	}
	return c.target(view)
}

// headerSize returns the size of a request's header as a caller would write it.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n")
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// readBody reads the whole body, so that a rejected call can be sent again and a close by the caller is
// noticed.
func (c *call) readBody(view *spread.Snapshot, w http.ResponseWriter) *rejection {
	limit := int64(view.Config.Limits.MaxBody)
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
	body, err := io.ReadAll(stream)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &rejection{status: http.StatusRequestEntityTooLarge, cause: causeTooLarge}
	case err != nil && silent(err):
		return &rejection{status: http.StatusRequestTimeout, cause: causeSlowBody, err: err}
	case err != nil:
		return &rejection{cause: causeGone, err: err}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// target draws the service and removes the fields that concern the caller's connection only.
func (c *call) target(view *spread.Snapshot) *rejection {
	name, ok := c.route.PickService(c.h.rng())
	if !ok {
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNoServer, after: retryAfter}
	}
	c.service = name
	if c.svc = view.Services[name]; c.svc == nil {
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNoServer, after: retryAfter}
	}
	removeHopFields(c.r.Header)
	return nil
}

// hopFields are the header fields of one connection (RFC 9110, section 7.6.1).
func hopFields() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Proxy-Authenticate", "Proxy-Authorization",
	}
}

func removeHopFields(h http.Header) {
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(f))
		}
	}
	for _, f := range hopFields() {
		delete(h, f)
	}
}

// finish returns the response to the caller, or says why there is none.
func (h *Handler) finish(w http.ResponseWriter, c *call) {
	switch {
	case c.final != nil && promises(c.final):
		// The status would promise that the call was not executed.
		h.reject(w, c, &rejection{status: http.StatusBadGateway, cause: causeFailed})
	case c.final != nil:
		h.answered(c)
		h.copy(w, c)
	default:
		h.reject(w, c, c.rejection())
	}
}

// reject notes the end of the call first, because closing the caller's connection ends the handler.
func (h *Handler) reject(w http.ResponseWriter, c *call, r *rejection) {
	h.rejected(c, r)
	r.write(w)
}

// promises reports whether a caller takes the status as a promise that the call was not executed, which the
// server did not make.
func promises(r *response) bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !r.notExecuted
	default:
		return false
	}
}

// copy writes the server's response. One that breaks off ends in a broken connection.
func (h *Handler) copy(w http.ResponseWriter, c *call) {
	r := c.final
	out := w.Header()
	removeHopFields(r.header)
	h.dialect.Clean(r.header)
	for k, v := range r.header {
		out[k] = v
	}
	// Fields that net/http would add are not the server's.
	for _, k := range []string{"Content-Type", "Date"} {
		if _, ok := out[k]; !ok {
			out[k] = nil
		}
	}
	if r.rest == nil && c.r.Method != http.MethodHead && r.status != http.StatusNoContent && r.status != http.StatusNotModified {
		out.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	if r.rest == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, r.rest)
	}
	_ = r.rest.Close()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// rejection says how a call ended that no server responded to.
func (c *call) rejection() *rejection {
	switch {
	case c.cause == retry.CauseGone || c.gone():
		return &rejection{cause: causeGone}
	case c.executed && c.cause == retry.CauseDeadline:
		return &rejection{status: http.StatusGatewayTimeout, cause: causeTimeout}
	case c.executed:
		return &rejection{status: http.StatusBadGateway, cause: causeBroken}
	case c.cause == retry.CauseShed:
		return &rejection{status: http.StatusServiceUnavailable, cause: causeShed, after: retryAfter}
	case c.crowded:
		return &rejection{status: http.StatusServiceUnavailable, cause: causeCrowded, after: retryAfter}
	default:
		return &rejection{status: http.StatusServiceUnavailable, cause: causeNoServer, after: retryAfter}
	}
}
