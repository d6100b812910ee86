// Package usage decides how the executed calls of each tenant are counted, merged over all instances and reported once for
// each window of the wall clock, by one holder of the duty at a time.
package usage

import (
	"time"

	"goldcreststand.example/core/ident"
)

// MaxWindows is the number of windows that are kept for a report that is late.
const MaxWindows = 24

type (
	// Window is the number of a window of the wall clock, counted from the start of 1970.
	Window int64
	// Token is the fencing token of the duty. It grows with each change of holder.
	Token uint64
	// Sequence numbers the count messages of one process.
	Sequence uint64
	// Counts holds the number of executed calls of each tenant.
	Counts map[ident.TenantName]uint64
)

// Report holds the counts of one window.
type Report struct {
	Window Window
	Counts Counts
}

// Time is a point in time on the two clocks that decisions need.
type Time struct {
	// Boot is the time since the machine booted. It continues while the process or the machine is suspended.
	Boot time.Duration
	// Wall is the smoothed time since the start of 1970.
	Wall time.Duration
}

const (
	// settleTime is the time after the end of a window after which it is reported. Nearly all calls have ended then.
	settleTime = 4 * time.Second
	// leaseSlack is the time for which the lease outlasts the next regular write, for another try of a failed one.
	leaseSlack = 3 * time.Second
	// takeoverMargin is the time between the end of a lease and the first claim of a successor. It covers the different speeds
	// of two clocks, and what the network delivers late.
	takeoverMargin = time.Second
)

// Settings are the times of the duty.
type Settings struct {
	// Window is the length of a window.
	Window time.Duration
	// Late is the time after the end of a window within which its report is due.
	Late time.Duration
	// ReclaimDelay is the time after the last report of an instance within which it does not take the duty from another one.
	ReclaimDelay time.Duration
}

// WindowAt returns the window at the wall-clock time.
func (s Settings) WindowAt(wall time.Duration) Window { return Window(wall / s.Window) }

// End returns the wall-clock time of the end of the window.
func (s Settings) End(w Window) time.Duration { return time.Duration(w+1) * s.Window }

// Lease returns the length of the lease, from the time at which the sending of the write begins. One write in each window
// renews it.
func (s Settings) Lease() time.Duration { return s.Window + leaseSlack }
