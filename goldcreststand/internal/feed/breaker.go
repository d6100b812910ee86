package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// minBackoff and maxBackoff limit the time between two calls while the store does not reply. Changes must take
	// effect within 2 s.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Breaker is a circuit breaker shared by the watchers of a process. During an outage of the store it allows one
// trial call at a time, because each call has a cost and one is enough to detect the end of the outage. It is
// safe for concurrent use.
type Breaker struct {
	clock clockwork.Clock

	mu      sync.Mutex
	backoff time.Duration
	// nextTry is the time of the next trial call during an outage.
	nextTry time.Time
	// recovered is closed when the store replies.
	recovered chan struct{}
}

// NewBreaker returns a breaker that allows all calls.
func NewBreaker(clock clockwork.Clock) *Breaker {
	return &Breaker{clock: clock, recovered: make(chan struct{})}
}

// Wait returns when the caller may call the store, or when the context has ended.
func (g *Breaker) Wait(ctx context.Context) {
	for ctx.Err() == nil {
		d, recovered := g.tryAcquire()
		if d <= 0 {
			return
		}
		select {
		case <-g.clock.After(d):
		case <-recovered:
		case <-ctx.Done():
		}
	}
}

// tryAcquire reserves the trial call when it is due, and otherwise returns the time until then.
func (g *Breaker) tryAcquire() (time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backoff == 0 {
		return 0, nil
	}
	now := g.clock.Now()
	if d := g.nextTry.Sub(now); d > 0 {
		return d, g.recovered
	}
	// A trial call without a reply delays the next one as long as a call that fails at once.
	g.nextTry = now.Add(g.backoff)
	return 0, nil
}

// RecordSuccess records a reply of the store.
func (g *Breaker) RecordSuccess() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backoff > 0 {
		g.backoff = 0
		close(g.recovered)
		g.recovered = make(chan struct{})
	}
}

// RecordFailure records a failed call. The backoff has jitter because many instances can see the same outage.
func (g *Breaker) RecordFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backoff = min(max(2*g.backoff, minBackoff), maxBackoff)
	g.nextTry = g.clock.Now().Add(g.backoff/2 + rand.N(g.backoff/2))
}
