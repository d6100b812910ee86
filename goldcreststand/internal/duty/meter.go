// Package duty carries out the duty of reporting usage: it counts the calls of this instance, reads and writes the entry of the
// duty in the store, and sends the reports.
package duty

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/usage"
)

// ElapsedClock returns the time since the machine booted, including the time for which it was suspended.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// Meter counts the executed calls of this instance by tenant and window. It is safe for concurrent use.
type Meter struct {
	settings usage.Settings
	clock    clockwork.Clock
	elapsed  ElapsedClock
	counter  *usage.Counter
	// wall is used by the goroutine that runs the meter. offset is the last result.
	wall   usage.WallClock
	offset atomic.Int64
	done   chan struct{}
}

// NewMeter returns a meter that has read the clocks once. Run must run while it counts.
func NewMeter(s usage.Settings, clock clockwork.Clock, elapsed ElapsedClock) *Meter {
	m := &Meter{settings: s, clock: clock, elapsed: elapsed, counter: usage.NewCounter(), done: make(chan struct{})}
	m.read()
	return m
}

// Done is closed when Run has returned.
func (m *Meter) Done() <-chan struct{} { return m.done }

// Run compares the clocks until the context ends.
func (m *Meter) Run(ctx context.Context) {
	defer close(m.done)
	ticker := m.clock.NewTicker(usage.ReadingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			m.read()
		case <-ctx.Done():
			return
		}
	}
}

func (m *Meter) read() {
	m.offset.Store(int64(m.wall.Read(time.Duration(m.clock.Now().UnixNano()), m.elapsed.Elapsed())))
}

// Wall returns the smoothed time since the start of 1970 at the boot time.
func (m *Meter) Wall(boot time.Duration) time.Duration { return boot + time.Duration(m.offset.Load()) }

// After returns the counts of the windows after the given one.
func (m *Meter) After(w usage.Window) map[usage.Window]usage.WindowCounts { return m.counter.After(w) }

// Begin counts a call of the tenant in the current window, which it returns.
func (m *Meter) Begin(t ident.TenantName) usage.Window {
	w := m.settings.WindowAt(m.Wall(m.elapsed.Elapsed()))
	m.counter.Add(t, w)
	return w
}

// Revoke takes back a call that was counted in the window.
func (m *Meter) Revoke(t ident.TenantName, w usage.Window) { m.counter.Revoke(t, w) }
