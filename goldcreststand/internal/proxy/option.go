package proxy

import (
	stdlog "log"
	"strings"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/stats"
)

// Option configures a Handler.
type Option func(*Handler)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(h *Handler) { h.clock = c } }

// WithLog sets the log.
func WithLog(l Log) Option { return func(h *Handler) { h.log = l } }

// WithMetrics sets the metrics in which calls are counted.
func WithMetrics(m *stats.CallMetrics) Option { return func(h *Handler) { h.metrics = m } }

// WithOutcomeSink sets the receiver of the outcomes of tries.
func WithOutcomeSink(s OutcomeSink) Option { return func(h *Handler) { h.sink = s } }

// WithDialer sets the dialer for connections to backend servers.
func WithDialer(d Dialer) Option { return func(h *Handler) { h.dialer = d } }

// Log is the log of a Handler.
type Log interface {
	Debugf(format string, args ...any)
	Errorf(format string, args ...any)
}

// noLog discards log lines.
type noLog struct{}

var _ Log = noLog{}

// Debugf does nothing.
func (noLog) Debugf(string, ...any) {}

// Errorf does nothing.
func (noLog) Errorf(string, ...any) {}

// noSink discards outcomes.
type noSink struct{}

var _ OutcomeSink = noSink{}

// Offer does nothing.
func (noSink) Offer([]route.TryOutcome) bool { return true }

// logWriter writes the lines of a standard logger at debug level, because the reverse proxy logs a line for
// each broken connection.
type logWriter struct{ log Log }

// Write logs one line.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Debugf("%s", strings.TrimSpace(string(b)))
	return len(b), nil
}

func errorLog(l Log) *stdlog.Logger { return stdlog.New(logWriter{log: l}, "", 0) }
