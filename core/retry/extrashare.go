package retry

import "time"

// departedMemory is the time for which instances that are missing from the list of members keep their parts of the extra
// resends. Such an instance may run: the store may have lost its entry or be out of its reach, and callers go on using its
// address.
const departedMemory = time.Minute

// ExtraShare decides how many of the extra resends of all instances one instance may send, so that the parts never add up
// to more than the whole in any span of the window's length. It sends no messages. It is not safe for concurrent use.
type ExtraShare struct {
	extra  float64
	window time.Duration
	start  time.Time
	// numbers holds the numbers of instances that may still be the largest one within departedMemory, in falling
	// order. The last one is the present number.
	numbers []instanceNumber
}

// instanceNumber is a number of instances that was in force until a time, which is zero while it still is.
type instanceNumber struct {
	n     int
	until time.Time
}

// NewExtraShare returns the part of an instance that starts now and does not know the number of instances.
func NewExtraShare(extra float64, window time.Duration, start time.Time) *ExtraShare {
	return &ExtraShare{extra: extra, window: window, start: start}
}

// SetInstances sets the number of instances.
func (s *ExtraShare) SetInstances(n int, now time.Time) {
	for len(s.numbers) > 0 && s.numbers[len(s.numbers)-1].n <= n {
		s.numbers = s.numbers[:len(s.numbers)-1]
	}
	if last := len(s.numbers) - 1; last >= 0 && s.numbers[last].until.IsZero() {
		s.numbers[last].until = now
	}
	s.numbers = append(s.numbers, instanceNumber{n: n})
}

// At returns the number of extra resends that the instance may send. It is 0 in the first window, when those of a process
// that ran before on the same machine may still count.
func (s *ExtraShare) At(now time.Time) float64 {
	if now.Sub(s.start) < s.window || len(s.numbers) == 0 {
		return 0
	}
	for !s.numbers[0].until.IsZero() && now.Sub(s.numbers[0].until) >= departedMemory {
		s.numbers = s.numbers[1:]
	}
	return s.extra / float64(max(1, s.numbers[0].n))
}
