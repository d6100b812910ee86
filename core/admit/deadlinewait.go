package admit

import "time"

// waitedShare is the part of the time that a call has waited by which its interval grows. A call that has waited for long
// needs fewer status checks to lose no more than this share of its time.
const waitedShare = 1.0 / 8

// lateIntervals is the number of intervals after which a call that can only be late makes an attempt. Other instances may
// have calls that can still meet their targets, and find the free slots first.
const lateIntervals = 10

// DeadlineWait is the policy by which a call waits as long as an answer has a value. It needs the expected work of the
// call.
type DeadlineWait struct {
	// Waiting is the number of calls of the service that wait at this instance.
	Waiting int
	// Wait is the expected time until the call gets a server.
	Wait time.Duration
}

// lastChance is the time left to the deadline, relative to the mean work, from which every server is acceptable. Slowness
// lasts for some hundreds of milliseconds, so that a slow server may still complete the call in time.
const lastChance = 2

// Acceptable reports whether a server with the slowdown is expected to meet the target latency, or the deadline if the
// target cannot be met any more by waiting. Shortly before a call would be refused every server is acceptable.
func (w DeadlineWait) Acceptable(c Call, now time.Time, slowdown float64) bool {
	end := c.target()
	if c.late(now, max(w.Wait, MinInterval)) || end.After(c.Deadline) {
		end = c.Deadline
	}
	return !now.Add(time.Duration(float64(c.Work)*slowdown)).After(end) || c.Deadline.Sub(now) <= lastChance*c.Work
}

// Next returns what a call without an acceptable server does. The call waits until its deadline leaves no time for the
// work, since a late response is worth more than none.
func (w DeadlineWait) Next(c Call, now time.Time) Step {
	left := c.Deadline.Sub(now) - c.Work
	if left <= 0 {
		return Step{Verdict: VerdictHopeless}
	}
	waiting := max(1, w.Waiting)
	if c.late(now, 0) {
		waiting *= lateIntervals
	}
	interval := max(time.Duration(waiting)*MinInterval, time.Duration(waitedShare*float64(now.Sub(c.Arrived))))
	// An attempt must come as soon as every server is acceptable.
	if last := left - (lastChance-1)*c.Work; last > 0 {
		left = last
	}
	return Step{Verdict: VerdictWait, Wait: min(interval, left)}
}
