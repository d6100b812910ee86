package notice

import (
	"sync/atomic"
	"time"
)

// Availability holds what one incarnation of a backend server has said. A server that starts again has a new one. The
// zero value is available, and so is nil. Times are readings of one monotonic clock. It is safe for concurrent use.
type Availability struct {
	leaving     atomic.Bool
	pausedUntil atomic.Int64
}

// Record records a notice. A shorter pause does not end a longer one, which the server has not taken back.
func (a *Availability) Record(now time.Duration, n Notice) {
	if n.Leaving {
		a.leaving.Store(true)
	}
	if n.Pause <= 0 {
		return
	}
	until := int64(now + min(n.Pause, MaxPause))
	for old := a.pausedUntil.Load(); old < until && !a.pausedUntil.CompareAndSwap(old, until); {
		old = a.pausedUntil.Load()
	}
}

// Leaving reports whether the server is leaving.
func (a *Availability) Leaving() bool { return a.leaving.Load() }

// PauseLeft returns the time until the end of the server's pause, or 0.
func (a *Availability) PauseLeft(now time.Duration) time.Duration {
	return max(0, time.Duration(a.pausedUntil.Load())-now)
}

// Available reports whether the server may receive requests and status checks.
func (a *Availability) Available(now time.Duration) bool {
	return a == nil || !a.Leaving() && a.PauseLeft(now) == 0
}
