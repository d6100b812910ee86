package usage

import (
	"slices"
	"time"
)

const (
	// ReadingInterval is the time between two readings of the clocks.
	ReadingInterval = time.Second
	// maxReadings is the number of readings whose median is used. A jump of the wall clock is ignored until it has lasted for
	// half of them, 10 s.
	maxReadings = 21
)

// WallClock smooths the wall clock: it is the boot-time clock plus the median of the latest offsets between the two. It is not
// safe for concurrent use.
type WallClock struct {
	offsets []time.Duration
	next    int
}

// Read records a reading of both clocks and returns the offset that is valid from now on.
func (c *WallClock) Read(wall, boot time.Duration) time.Duration {
	if len(c.offsets) < maxReadings {
		c.offsets = append(c.offsets, wall-boot)
	} else {
		c.offsets[c.next] = wall - boot
		c.next = (c.next + 1) % maxReadings
	}
	sorted := slices.Sorted(slices.Values(c.offsets))
	return sorted[len(sorted)/2]
}
