// Package fault makes the fake platform misbehave in the ways that are set, and counts its calls.
package fault

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// Injector decides which calls go wrong. It is safe for concurrent use.
type Injector struct {
	clock clockwork.Clock

	mu     sync.Mutex
	faults wire.PlatformFaults
	rng    *rand.Rand
	reads  *rate.Limiter
	writes *rate.Limiter
	// changed is closed and replaced when the faults are set.
	changed chan struct{}
	calls   wire.PlatformCalls
}

// New returns an injector without faults.
func New(clock clockwork.Clock) *Injector {
	i := &Injector{clock: clock, changed: make(chan struct{})}
	i.Set(wire.PlatformFaults{})
	return i
}

// Set replaces the faults. What is absent is off.
func (i *Injector) Set(f wire.PlatformFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.rng = rand.New(rand.NewPCG(uint64(value(f.Seed)), 0))
	i.reads, i.writes = limiter(value(f.Reads)), limiter(value(f.Writes))
	close(i.changed)
	i.changed = make(chan struct{})
}

// Outage returns the kind of outage and a channel that is closed when the faults change.
func (i *Injector) Outage() (wire.PlatformFaultsOutage, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return value(i.faults.Outage), i.changed
}

// Delay returns the time before each response.
func (i *Injector) Delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return value(i.faults.Delay).Std()
}

// Lose reports whether the response of a write is to be lost.
func (i *Injector) Lose() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.draw(value(i.faults.Lost))
}

// Age returns the age of what a read of objects shows.
func (i *Injector) Age() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.draw(value(i.faults.Stale)) {
		return 0
	}
	return value(i.faults.Replica).Std()
}

// Lag returns the age of the instance list.
func (i *Injector) Lag() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return value(i.faults.Lag).Std()
}

// Allow reports whether the rate limit admits the call.
func (i *Injector) Allow(write bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.reads
	if write {
		l = i.writes
	}
	return l.AllowN(i.clock.Now(), 1)
}

// Count changes the counters.
func (i *Injector) Count(f func(*wire.PlatformCalls)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(&i.calls)
}

// Calls returns the counters.
func (i *Injector) Calls() wire.PlatformCalls {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.calls
}

func (i *Injector) draw(s ident.Share) bool {
	return ident.Share(i.rng.IntN(int(ident.FullShare))) < s
}

// limiter admits n calls a second, and n at once; 0 sets no limit.
func limiter(n int) *rate.Limiter {
	if n == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(n), n)
}

// value returns what p points to, or the zero value.
func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
