package logs

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxQueuedLines limits the queue. It is more than RateLimitedLogger writes in one second.
	maxQueuedLines = 1024
	// batchDelay is the time for which lines are collected into one write, to save system calls.
	batchDelay = 100 * time.Millisecond
)

// AsyncWriter is a writer that never blocks. It queues lines that a background goroutine writes; when the queue
// is full it drops and counts them. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	clock   clockwork.Clock
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns a writer that queues lines until Run is called.
func NewAsyncWriter(out io.Writer, clock clockwork.Clock) *AsyncWriter {
	return &AsyncWriter{out: out, clock: clock, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
}

// Write queues one line. It never returns an error.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// OverHalfFull reports whether the queue is more than half full.
func (w *AsyncWriter) OverHalfFull() bool { return len(w.queue) > cap(w.queue)/2 }

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Done is closed when Run has returned.
func (w *AsyncWriter) Done() <-chan struct{} { return w.done }

// Run writes queued lines until the context ends, and then writes the rest of the queue.
func (w *AsyncWriter) Run(ctx context.Context) {
	defer close(w.done)
	for {
		select {
		case p := <-w.queue:
			select {
			case <-w.clock.After(batchDelay):
			case <-ctx.Done():
			}
			w.flush(p)
		case <-ctx.Done():
			w.flush(nil)
			return
		}
	}
}

// flush writes the line and all queued lines.
func (w *AsyncWriter) flush(p []byte) {
	for range len(w.queue) {
		p = append(p, <-w.queue...)
	}
	if len(p) == 0 {
		return
	}
	if _, err := w.out.Write(p); err != nil {
		w.dropped.Add(int64(bytes.Count(p, []byte{'\n'})))
	}
}
