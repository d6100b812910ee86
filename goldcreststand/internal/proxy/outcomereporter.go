package proxy

import (
	"sync"
	"time"

	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/stats"
)

// Bounds of the batches of outcomes that are passed to control.
const (
	batchSize = 256
	// batchDelay is short compared to the 2 s within which control reacts to a faulty version.
	batchDelay = 20 * time.Millisecond
)

// OutcomeSink receives batches of outcomes. Offer must not block; it reports whether the batch was accepted.
type OutcomeSink interface {
	Offer(batch []route.TryOutcome) bool
}

// outcomeReporter collects the outcomes of tries into batches for an OutcomeSink.
type outcomeReporter struct {
	sink    OutcomeSink
	metrics *stats.CallMetrics
	// batchStarted signals Handler.Run to flush the new batch after batchDelay.
	batchStarted chan struct{}

	mu    sync.Mutex
	batch []route.TryOutcome
}

func newOutcomeReporter(s OutcomeSink, m *stats.CallMetrics) *outcomeReporter {
	return &outcomeReporter{sink: s, metrics: m, batchStarted: make(chan struct{}, 1)}
}

// add adds an outcome to the batch without blocking and passes the batch on when it is full.
func (r *outcomeReporter) add(o route.TryOutcome) {
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
		case r.batchStarted <- struct{}{}:
		default:
		}
	}
}

// flush passes on the current batch.
func (r *outcomeReporter) flush() {
	r.mu.Lock()
	batch := r.batch
	r.batch = nil
	r.mu.Unlock()
	if len(batch) > 0 {
		r.offer(batch)
	}
}

func (r *outcomeReporter) offer(batch []route.TryOutcome) {
	if !r.sink.Offer(batch) {
		r.metrics.AddDropped(len(batch))
	}
}
