package proxy

import (
	stdlog "log"
	"strings"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/stats"
)

// Option changes a Handler.
type Option func(*Handler)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(h *Handler) { h.clock = c } }

// WithLog sets the log.
func WithLog(l Log) Option { return func(h *Handler) { h.log = l } }

// WithMetrics sets the metrics that calls are counted in.
func WithMetrics(m *stats.CallMetrics) Option { return func(h *Handler) { h.metrics = m } }

// WithSink sets the receiver of outcomes.
func WithSink(s Sink) Option { return func(h *Handler) { h.sink = s } }

// WithDialer sets what makes the connections to backend servers.
func WithDialer(d Dialer) Option { return func(h *Handler) { h.dialer = d } }

// Log is the log of a Handler.
type Log interface {
	Debugf(format string, args ...any)
	Errorf(format string, args ...any)
}

// noLog writes nothing.
type noLog struct{}

var _ Log = noLog{}

// Debugf does nothing.
func (noLog) Debugf(string, ...any) {}

// Errorf does nothing.
func (noLog) Errorf(string, ...any) {}

// noSink takes outcomes and forgets them.
type noSink struct{}

var _ Sink = noSink{}

// Offer does nothing.
func (noSink) Offer([]route.TryOutcome) bool { return true }

// logWriter writes the lines of a standard logger at debug level. The reverse proxy writes one for each
// broken connection.
type logWriter struct{ log Log }

// Write writes one line.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debugf("%s", strings.TrimSpace(string(b)))
	return len(b), nil
}

func errorLog(l Log) *stdlog.Logger { return stdlog.New(logWriter{log: l}, "", 0) }
