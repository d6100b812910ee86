package notice

import (
	"iter"
	"time"
)

// Unavailable reports whether there are servers and none may receive requests, and after which time the first of them
// may. The time is 0 if all of them are leaving. Each server comes with the reading of its own clock. It ends at the first
// server that is available.
func Unavailable(servers iter.Seq2[*Availability, time.Duration]) (after time.Duration, unavailable bool) {
	for a, now := range servers {
		if a.Available(now) {
			return 0, false
		}
		unavailable = true
		if left := a.PauseLeft(now); !a.Leaving() && (after == 0 || left < after) {
			after = left
		}
	}
	return after, unavailable
}
