package retry

import (
	"sync/atomic"
	"time"
)

// Steps of a Delay: the estimate rests where 5 % of the samples are above it.
const (
	delayUp   = 19
	delayDown = 1
	// delayStep divides the estimate: one step down is 1/400 of it.
	delayStep = 400
)

// Delay estimates the recent 95th percentile of latencies with one counter, as the frugal streaming
// estimator of Ma, Muthukrishnan and Sandler (2013) does, with steps relative to the estimate. It
// follows a change within some tens of samples. It is safe for concurrent use.
type Delay struct {
	min      time.Duration
	estimate atomic.Int64
}

// NewDelay returns an estimate that starts at the given value and stays at or above min.
func NewDelay(start, least time.Duration) *Delay {
	d := &Delay{min: least}
	d.estimate.Store(int64(max(start, least)))
	return d
}

// Observe adds a sample. A lost update under contention loses one sample only.
func (d *Delay) Observe(sample time.Duration) {
	n := d.estimate.Load()
	next := n - n*delayDown/delayStep
	if int64(sample) > n {
		next = n + n*delayUp/delayStep
	}
	d.estimate.CompareAndSwap(n, max(next, int64(d.min)))
}

// Value returns the estimate.
func (d *Delay) Value() time.Duration { return time.Duration(d.estimate.Load()) }
