package limit

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Times of a change of shares.
const (
	// TakeDelay is the time for which a larger share must have been due before it is in force. It is
	// longer than failure detection (3 s) plus the time for which a paused instance may act on its
	// last snapshot (2 s), so every instance that loses the share has stopped using it.
	TakeDelay = 6 * time.Second
	// StallLimit is the largest gap between two observations after which shares stay in force. It is
	// the validity of a snapshot: after a longer pause other instances may have been given the shares.
	StallLimit = 2 * time.Second
)

// Ledger holds the shares in force of one instance for one service: for each server the smallest
// share that was due during the last TakeDelay. A smaller share is therefore in force at once, a
// larger one after TakeDelay. When all instances held the same view at some time during every
// TakeDelay, the sum of their shares in force is at most the sum of the shares in that view.
// All times are readings of the boot-time clock.
type Ledger struct {
	last    time.Duration
	started bool
	windows map[ident.ServerID]*window
}

// NewLedger returns a ledger without shares: a new instance waits for TakeDelay, because its first view
// may lack instances that use the shares.
func NewLedger() *Ledger {
	return &Ledger{windows: make(map[ident.ServerID]*window)}
}

// Observe notes the shares that are due now. It must be called at least every StallLimit; after a
// longer gap all shares start from 0.
func (l *Ledger) Observe(now time.Duration, due Shares) {
	if l.started && now-l.last > StallLimit {
		clear(l.windows)
	}
	l.started, l.last = true, now
	for id, w := range l.windows {
		w.observe(now, due[id])
		if w.idle() {
			delete(l.windows, id)
		}
	}
	for id, n := range due {
		if _, ok := l.windows[id]; !ok && n > 0 {
			w := newWindow()
			w.observe(now, n)
			l.windows[id] = w
		}
	}
}

// Share returns the share in force at the server.
func (l *Ledger) Share(id ident.ServerID) ident.Slots {
	w, ok := l.windows[id]
	if !ok {
		return 0
	}
	return w.steps[0].slots
}

// window is the sliding minimum of the share due at one server. Steps are in order of time and their
// slots increase; the last one is the share due now.
type window struct {
	steps []step
}

// step is a share that was due until some time.
type step struct {
	slots ident.Slots
	until time.Duration
}

func newWindow() *window { return &window{steps: []step{{}}} }

func (w *window) observe(now time.Duration, slots ident.Slots) {
	if back := &w.steps[len(w.steps)-1]; back.slots != slots {
		back.until = now
		for len(w.steps) > 0 && w.steps[len(w.steps)-1].slots >= slots {
			w.steps = w.steps[:len(w.steps)-1]
		}
		w.steps = append(w.steps, step{slots: slots})
	}
	for len(w.steps) > 1 && w.steps[0].until+TakeDelay <= now {
		w.steps = w.steps[1:]
	}
}

// idle reports whether no share is due and none was due lately.
func (w *window) idle() bool { return len(w.steps) == 1 && w.steps[0].slots == 0 }
