package logs_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/logs"
)

// blockingWriter is a writer that blocks until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func newLogger(t *testing.T, out io.Writer, clock clockwork.Clock) (*logs.RateLimitedLogger, *logs.AsyncWriter) {
	writer := logs.NewAsyncWriter(out, clock)
	log, err := logs.New(writer, "info", true)
	require.NoError(t, err)
	return logs.NewRateLimitedLogger(log, writer, clock), writer
}

// Guards against requests that are delayed by logging when nobody reads standard output.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	log, writer := newLogger(t, out, clockwork.NewRealClock())
	ctx, cancel := context.WithCancel(t.Context())
	go writer.Run(ctx)
	start := time.Now()
	for i := range 20000 {
		log.Failure("failed", logrus.Fields{"n": i})
	}
	require.Less(t, time.Since(start), 2*time.Second)
	close(out.unblock)
	cancel()
	<-writer.Done()
	require.Positive(t, out.buf.Len())
}

// Guards against a log volume that grows with the load and against suppressed lines that are not reported. At ten
// times the usual load, no more lines are written than the limits allow, and failures take precedence.
func TestLogRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	log, writer := newLogger(t, &out, clock)
	for range 5000 {
		log.Success("success", nil)
		log.Failure("failure", nil)
		log.StateChange("state change", nil)
	}
	clock.Advance(time.Second)
	log.StateChange("later", nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	writer.Run(ctx)
	require.Zero(t, writer.Dropped())
	text := out.String()
	require.LessOrEqual(t, strings.Count(text, "\n"), 600)
	require.Greater(t, strings.Count(text, `"failure"`), strings.Count(text, `"success"`))
	require.Contains(t, text, "lines were suppressed")
	require.Contains(t, text, `"left":`)
}
