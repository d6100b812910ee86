package admit

import "time"

const (
	// waitFraction is the fraction of a route's target latency for which a call waits for an acceptable server. Urgent
	// calls wait for urgentWaitFraction. The remaining time is for the execution, or for a retry by the caller if the
	// call is rejected.
	waitFraction       = 0.2
	urgentWaitFraction = 0.4
	// MinInterval is the least time between two attempts of a call to pick a server.
	MinInterval = 10 * time.Millisecond
)

// FixedWait is the policy by which a call waits for a fraction of its target latency.
type FixedWait struct{}

// Acceptable reports whether a server with the slowdown is expected to meet the target latency. If even a server at full
// speed would miss it, every server is acceptable.
func (FixedWait) Acceptable(c Call, now time.Time, slowdown float64) bool {
	left := c.target().Sub(now)
	return time.Duration(float64(c.Work)*slowdown) <= left || c.Work > left
}

// Next returns what a call without an acceptable server does.
func (FixedWait) Next(c Call, now time.Time) Step {
	fraction := waitFraction
	if c.Urgent {
		fraction = urgentWaitFraction
	}
	until := c.Arrived.Add(min(time.Duration(fraction*float64(c.TargetLatency)), c.Deadline.Sub(c.Arrived)))
	if !now.Add(MinInterval).Before(until) {
		return Step{Verdict: VerdictSettle}
	}
	return Step{Verdict: VerdictWait, Wait: MinInterval}
}
