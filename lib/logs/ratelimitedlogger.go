package logs

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Rate limits of the kinds of lines. Together they bound the log volume; a line has about 400 bytes.
const (
	maxSuccessesPerSecond    = 60
	maxFailuresPerSecond     = 200
	maxStateChangesPerSecond = 300
)

// RateLimitedLogger logs the requests and state changes of a process with a rate limit for each kind of line.
// Suppressed lines are counted, and the count is logged. It is safe for concurrent use.
type RateLimitedLogger struct {
	log    logrus.FieldLogger
	writer *AsyncWriter
	clock  clockwork.Clock

	mu          sync.Mutex
	secondStart time.Time
	// successes, failures, stateChanges and suppressed count the lines since secondStart.
	successes, failures, stateChanges int
	suppressed                        int64
}

// NewRateLimitedLogger returns a logger that writes through log. The output of log must be writer.
func NewRateLimitedLogger(log logrus.FieldLogger, writer *AsyncWriter, clock clockwork.Clock) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, writer: writer, clock: clock, secondStart: clock.Now()}
}

// Success logs a successful request at info level. These lines are also suppressed when the write queue is over half full.
func (l *RateLimitedLogger) Success(msg string, fields logrus.Fields) {
	if l.allow(&l.successes, maxSuccessesPerSecond, l.writer.OverHalfFull()) {
		l.log.WithFields(fields).Info(msg)
	}
}

// Failure logs a failed request at warn level.
func (l *RateLimitedLogger) Failure(msg string, fields logrus.Fields) {
	if l.allow(&l.failures, maxFailuresPerSecond, false) {
		l.log.WithFields(fields).Warn(msg)
	}
}

// StateChange logs a change of the state that the process tracks, at info level.
func (l *RateLimitedLogger) StateChange(msg string, fields logrus.Fields) {
	if l.allow(&l.stateChanges, maxStateChangesPerSecond, false) {
		l.log.WithFields(fields).Info(msg)
	}
}

// allow reports whether the rate limit allows another line. Once a second it logs how many lines were suppressed.
func (l *RateLimitedLogger) allow(count *int, rate int, queueBusy bool) bool {
	l.mu.Lock()
	now := l.clock.Now()
	var suppressed int64
	if now.Sub(l.secondStart) >= time.Second {
		suppressed = l.suppressed
		l.secondStart, l.successes, l.failures, l.stateChanges, l.suppressed = now, 0, 0, 0, 0
	}
	ok := !queueBusy && *count < rate
	if ok {
		*count++
	} else {
		l.suppressed++
	}
	l.mu.Unlock()
	if suppressed > 0 {
		l.log.WithFields(logrus.Fields{"left": suppressed, "dropped": l.writer.Dropped()}).Warn("logs: lines were suppressed")
	}
	return ok
}
