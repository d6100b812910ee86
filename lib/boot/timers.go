package boot

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// TimerCheckInterval is the duration of the timers by which WaitForTimers measures how late timers fire.
	TimerCheckInterval = 10 * time.Millisecond
	// RequiredTimerChecks is the number of consecutive timers that must fire at most maxTimerDelay late.
	RequiredTimerChecks = 3
	maxTimerDelay       = 10 * time.Millisecond
	// MaxTimerWait bounds the wait. The timers of a process with a cap on its processor time may always be late.
	MaxTimerWait = 500 * time.Millisecond
)

// WaitForTimers waits until timers fire on time, at most for MaxTimerWait and half of the time until the context ends. A process
// that is short of processor time has then caught up on its work, such as reading the requests that have arrived.
func WaitForTimers(ctx context.Context, clock clockwork.Clock) {
	start, limit := clock.Now(), MaxTimerWait
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)/2)
	}
	for n := 0; n < RequiredTimerChecks && clock.Since(start) < limit; n++ {
		at := clock.Now()
		select {
		case <-clock.After(TimerCheckInterval):
		case <-ctx.Done():
			return
		}
		if clock.Since(at)-TimerCheckInterval > maxTimerDelay {
			n = -1
		}
	}
}
