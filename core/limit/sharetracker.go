package limit

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/recent"
)

// Times that apply when shares change.
const (
	// ShareIncreaseDelay is the time for which a larger share must have been assigned before it takes
	// effect. It is longer than failure detection (3 s) plus the time for which a paused instance may
	// act on its last snapshot (2 s), so every instance that loses the share has stopped using it.
	ShareIncreaseDelay = 6 * time.Second
	// MaxObserveGap is the longest time between two observations after which shares stay in effect. It
	// is the validity of a snapshot: after a longer pause the shares may have been assigned to other
	// instances.
	MaxObserveGap = 2 * time.Second
)

// ShareTracker holds the effective shares of one instance for one service: for each server the smallest
// share that was assigned during the last ShareIncreaseDelay. A smaller share therefore takes effect at
// once, a larger one after ShareIncreaseDelay. If all instances had the same view at some time during
// every ShareIncreaseDelay, the sum of their effective shares is at most the sum of the shares in that
// view. All times are readings of the boot-time clock.
type ShareTracker struct {
	lastObserved time.Duration
	started      bool
	windows      map[ident.ServerID]*recent.Extreme[ident.Slots]
}

// NewShareTracker returns a tracker without shares. A new instance waits for ShareIncreaseDelay because
// its first view may lack instances that use the shares.
func NewShareTracker() *ShareTracker {
	return &ShareTracker{windows: make(map[ident.ServerID]*recent.Extreme[ident.Slots])}
}

// Observe records the shares that are assigned now. It must be called at least every MaxObserveGap;
// after a longer gap all shares start from 0.
func (t *ShareTracker) Observe(now time.Duration, assigned Shares) {
	if t.started && now-t.lastObserved > MaxObserveGap {
		clear(t.windows)
	}
	t.started, t.lastObserved = true, now
	for id, w := range t.windows {
		w.Observe(now, assigned[id])
		if w.Last() == 0 {
			delete(t.windows, id)
		}
	}
	for id, n := range assigned {
		if _, ok := t.windows[id]; !ok && n > 0 {
			w := recent.NewMin[ident.Slots](ShareIncreaseDelay, 0)
			w.Observe(now, n)
			t.windows[id] = w
		}
	}
}

// Share returns the effective share at the server.
func (t *ShareTracker) Share(id ident.ServerID) ident.Slots {
	w, ok := t.windows[id]
	if !ok {
		return 0
	}
	return w.Value()
}
