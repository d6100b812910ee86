// Package fault injects faults into the calls of the fake platform and counts the calls.
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

// Injector holds the configured faults and the call counters. It is safe for concurrent use.
type Injector struct {
	clock clockwork.Clock

	mu           sync.Mutex
	faults       wire.PlatformFaults
	rng          *rand.Rand
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
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

// Set replaces the faults. Faults that f leaves out are turned off.
func (i *Injector) Set(f wire.PlatformFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.rng = rand.New(rand.NewPCG(uint64(valueOrZero(f.Seed)), 0))
	i.readLimiter, i.writeLimiter = newLimiter(valueOrZero(f.Reads)), newLimiter(valueOrZero(f.Writes))
	close(i.changed)
	i.changed = make(chan struct{})
}

// Outage returns the kind of outage and a channel that is closed when the faults change.
func (i *Injector) Outage() (wire.PlatformFaultsOutage, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return valueOrZero(i.faults.Outage), i.changed
}

// Delay returns the time to wait before each response.
func (i *Injector) Delay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return valueOrZero(i.faults.Delay).Std()
}

// LoseResponse reports whether to lose the response of a write, at the configured rate.
func (i *Injector) LoseResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.draw(valueOrZero(i.faults.Lost))
}

// ReplicaLag returns the replication lag that a read of objects sees. It is 0 unless the read goes to the
// replica, as the configured share of reads does.
func (i *Injector) ReplicaLag() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.draw(valueOrZero(i.faults.Stale)) {
		return 0
	}
	return valueOrZero(i.faults.Replica).Std()
}

// ServerListLag returns the time after which updates of a server list become visible.
func (i *Injector) ServerListLag() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return valueOrZero(i.faults.Lag).Std()
}

// Allow reports whether the rate limit admits the call.
func (i *Injector) Allow(write bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.readLimiter
	if write {
		l = i.writeLimiter
	}
	return l.AllowN(i.clock.Now(), 1)
}

// Count updates the call counters with f.
func (i *Injector) Count(f func(*wire.PlatformCalls)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(&i.calls)
}

// Calls returns the call counters.
func (i *Injector) Calls() wire.PlatformCalls {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.calls
}

// draw returns true with the probability s.
func (i *Injector) draw(s ident.Share) bool {
	return ident.Share(i.rng.IntN(int(ident.FullShare))) < s
}

// newLimiter returns a rate limiter for n calls per second with a burst of n; 0 sets no limit.
func newLimiter(n int) *rate.Limiter {
	if n == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(n), n)
}

// valueOrZero returns the value that p points to, or the zero value if p is nil.
func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}
