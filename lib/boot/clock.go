// Package boot reads the boot-time clock, which runs on while the process or the machine is paused.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads CLOCK_BOOTTIME of Linux.
type Clock struct{}

// Elapsed returns the time since the machine started, including the time that it was suspended. It
// returns 0 when the clock cannot be read.
func (Clock) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
