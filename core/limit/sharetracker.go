package limit

import (
	"time"

	"goldcreststand.example/core/ident"
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
	windows      map[ident.ServerID]*minWindow
}

// NewShareTracker returns a tracker without shares. A new instance waits for ShareIncreaseDelay because
// its first view may lack instances that use the shares.
func NewShareTracker() *ShareTracker {
	return &ShareTracker{windows: make(map[ident.ServerID]*minWindow)}
}

// Observe records the shares that are assigned now. It must be called at least every MaxObserveGap;
// after a longer gap all shares start from 0.
func (t *ShareTracker) Observe(now time.Duration, assigned Shares) {
	if t.started && now-t.lastObserved > MaxObserveGap {
		clear(t.windows)
	}
	t.started, t.lastObserved = true, now
	for id, w := range t.windows {
		w.observe(now, assigned[id])
		if w.empty() {
			delete(t.windows, id)
		}
	}
	for id, n := range assigned {
		if _, ok := t.windows[id]; !ok && n > 0 {
			w := newMinWindow()
			w.observe(now, n)
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
	return w.steps[0].slots
}

// minWindow is the sliding minimum of the share assigned at one server. Steps are in order of time with
// increasing slots; the last one is the share assigned now.
type minWindow struct {
	steps []step
}

// step is a share that was assigned until some time.
type step struct {
	slots ident.Slots
	until time.Duration
}

func newMinWindow() *minWindow { return &minWindow{steps: []step{{}}} }

func (w *minWindow) observe(now time.Duration, slots ident.Slots) {
	if newest := &w.steps[len(w.steps)-1]; newest.slots != slots {
		newest.until = now
		for len(w.steps) > 0 && w.steps[len(w.steps)-1].slots >= slots {
			w.steps = w.steps[:len(w.steps)-1]
		}
		w.steps = append(w.steps, step{slots: slots})
	}
	for len(w.steps) > 1 && w.steps[0].until+ShareIncreaseDelay <= now {
		w.steps = w.steps[1:]
	}
}

// empty reports whether the window holds no share, neither the current one nor an earlier one.
func (w *minWindow) empty() bool { return len(w.steps) == 1 && w.steps[0].slots == 0 }
