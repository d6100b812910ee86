package cmd

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/lib/logs"
)

// logFlushTimeout limits how long a process that ends waits for its last log lines. Their reader may have stopped.
const logFlushTimeout = 500 * time.Millisecond

// startLog returns a writer of log lines that never blocks, and the function that ends it once the lines that wait are written.
func startLog(out io.Writer, clock clockwork.Clock) (lines *logs.AsyncWriter, end func()) {
	lines = logs.NewAsyncWriter(out, clock)
	ctx, stop := context.WithCancel(context.Background())
	go lines.Run(ctx)
	return lines, func() {
		stop()
		select {
		case <-lines.Done():
		case <-clock.After(logFlushTimeout):
		}
	}
}
