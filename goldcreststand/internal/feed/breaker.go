package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Breaker is a circuit breaker shared by the watchers of a process. During an outage of the store it allows one
// trial call at a time, because each call has a cost and one is enough to detect the end of the outage. It is
// safe for concurrent use.
type Breaker struct {
	clock clockwork.Clock
	// shortest and longest limit the backoff.
	shortest, longest time.Duration

	mu      sync.Mutex
	backoff time.Duration
	// nextTrial is the time of the next trial call during an outage.
	nextTrial time.Time
	// advanced is closed when the next call is allowed earlier than announced, because the store replied.
	advanced chan struct{}
}

// NewBreaker returns a breaker that allows all calls. The limits are those of the time between two calls during an outage.
func NewBreaker(clock clockwork.Clock, shortest, longest time.Duration) *Breaker {
	return &Breaker{clock: clock, shortest: shortest, longest: longest, advanced: make(chan struct{})}
}

// notifyWaiting makes waiting callers try again. The lock is held.
func (b *Breaker) notifyWaiting() {
	close(b.advanced)
	b.advanced = make(chan struct{})
}

// Wait returns when the caller may call the store, or when the context has ended.
func (b *Breaker) Wait(ctx context.Context) {
	for ctx.Err() == nil {
		d, advanced := b.tryAcquire()
		if d <= 0 {
			return
		}
		select {
		case <-b.clock.After(d):
		case <-advanced:
		case <-ctx.Done():
		}
	}
}

// tryAcquire reserves the trial call when it is due, and otherwise returns the time until then.
func (b *Breaker) tryAcquire() (time.Duration, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.backoff == 0 {
		return 0, nil
	}
	now := b.clock.Now()
	if d := b.nextTrial.Sub(now); d > 0 {
		return d, b.advanced
	}
	// A trial call without a reply delays the next one as long as a call that fails at once.
	b.nextTrial = now.Add(b.backoff)
	return 0, nil
}

// RecordSuccess records a reply of the store.
func (b *Breaker) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.backoff > 0 {
		b.backoff = 0
		b.notifyWaiting()
	}
}

// RecordFailure records a failed call. The backoff has jitter because many instances can see the same outage.
func (b *Breaker) RecordFailure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoff = min(max(2*b.backoff, b.shortest), b.longest)
	b.nextTrial = b.clock.Now().Add(b.backoff/2 + rand.N(b.backoff/2))
}
