// Package boot reads the boot-time clock, which keeps counting while the process or the machine is suspended.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the Linux clock CLOCK_BOOTTIME.
type Clock struct{}

// Elapsed returns the time since the machine booted, including time in suspend, or 0 if the clock
// cannot be read.
func (Clock) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
