package spread

import "time"

// openFraction is the fraction of a planned stop in which every call is accepted. Most calls end long before their
// deadlines, and callers that keep this instance's address are spared a second call.
const openFraction = 1.0 / 3

// Stop is a planned stop of this instance. The zero value is none.
type Stop struct {
	// Since is the start of the stop, and Until the time at which calls in flight are cut off.
	Since, Until time.Time
}

// Accepts reports whether a call that arrives now may be sent to a server. After the first part of the stop, only a call
// whose deadline passes before the end is certain to get its response; another instance can take the others.
func (s Stop) Accepts(now, deadline time.Time) bool {
	if s.Until.IsZero() || !deadline.After(s.Until) {
		return true
	}
	return float64(now.Sub(s.Since)) < openFraction*float64(s.Until.Sub(s.Since))
}
