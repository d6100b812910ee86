package proxy

import (
	"sync"
	"time"

	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/stats"
)

// Bounds of the batches in which outcomes are handed to control.
const (
	batchSize = 256
	// batchDelay is small against the 2 s within which control reacts to a bad version.
	batchDelay = 20 * time.Millisecond
)

// Sink takes batches of outcomes. Offer must not block; it reports whether there was room.
type Sink interface {
	Offer(batch []route.TryOutcome) bool
}

// reporter collects the outcomes of tries into batches.
type reporter struct {
	sink    Sink
	metrics *stats.CallMetrics
	// kick tells the flusher that a batch has begun.
	kick chan struct{}

	mu    sync.Mutex
	batch []route.TryOutcome
}

func newReporter(s Sink, m *stats.CallMetrics) *reporter {
	return &reporter{sink: s, metrics: m, kick: make(chan struct{}, 1)}
}

// add adds an outcome and never waits.
func (r *reporter) add(o route.TryOutcome) {
	r.mu.Lock()
	r.batch = append(r.batch, o)
	n := len(r.batch)
	var full []route.TryOutcome
	if n >= batchSize {
		full, r.batch = r.batch, nil
	}
	r.mu.Unlock()
	if full != nil {
		r.offer(full)
		return
	}
	if n == 1 {
		select {
		case r.kick <- struct{}{}:
		default:
		}
	}
}

// flush hands over the batch that has begun.
func (r *reporter) flush() {
	r.mu.Lock()
	batch := r.batch
	r.batch = nil
	r.mu.Unlock()
	if len(batch) > 0 {
		r.offer(batch)
	}
}

func (r *reporter) offer(batch []route.TryOutcome) {
	if !r.sink.Offer(batch) {
		r.metrics.AddDropped(len(batch))
	}
}
