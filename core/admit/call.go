// Package admit decides which calls wait for a backend server, for how long, in which order, and when a refused caller
// may come back. It knows two policies: FixedWait, by a fraction of the target latency, and DeadlineWait, by the time
// that is left.
package admit

import "time"

// workMargin is the time that must be left for a call to be likely to meet its target, relative to the mean work: half of
// the calls take longer than the mean.
const workMargin = 1.25

// Call is what is known of a call while it has no server.
type Call struct {
	Arrived  time.Time
	Deadline time.Time
	// TargetLatency is the latency up to which a response has its full value, counted from Arrived.
	TargetLatency time.Duration
	// OrganisationPriority and RoutePriority are the priorities of the caller's organisation and of the route; 0 is the
	// most urgent.
	OrganisationPriority, RoutePriority int
	// Urgent reports that the call is more urgent than others of its service.
	Urgent bool
	// Work is the expected duration of the call at an idle server at normal speed, or 0 if it is unknown.
	Work time.Duration
}

// target returns the time until which a response has its full value.
func (c Call) target() time.Time { return c.Arrived.Add(c.TargetLatency) }

// late reports whether the call most likely misses its target even if an idle server takes it after the wait.
func (c Call) late(now time.Time, wait time.Duration) bool {
	return now.Add(wait + time.Duration(workMargin*float64(c.Work))).After(c.target())
}

// before reports whether c gets a server before other, which arrived later.
func (c Call) before(other Call, now time.Time) bool {
	switch late, otherLate := c.late(now, 0), other.late(now, 0); {
	case late != otherLate:
		return !late
	case c.OrganisationPriority != other.OrganisationPriority:
		return c.OrganisationPriority < other.OrganisationPriority
	case c.RoutePriority != other.RoutePriority:
		return c.RoutePriority < other.RoutePriority
	default:
		return !c.target().After(other.target())
	}
}

// hedgeMargin is the least silence, relative to the expected work, after which a second try is sent. Most calls have a
// response by then.
const hedgeMargin = 1.5

// HedgeDelay returns the silence after which a call that is sent now gets a second try, or 0 for none: the time until which
// the work of another try still fits into the target. If most calls take longer than that, it is high, the latency that
// nearly all calls do not exceed, or 0 if that is unknown.
func HedgeDelay(c Call, now time.Time, high time.Duration) time.Duration {
	margin := time.Duration(workMargin * float64(c.Work))
	if d := c.target().Sub(now) - margin; c.Work > 0 && d >= time.Duration(hedgeMargin*float64(c.Work)) {
		return d
	}
	return high
}
