package ident

import (
	"math"
	"time"
)

// FullShare is the share of 100 %, in per mille.
const FullShare Share = 1000

// MaxWeight is the maximum weight of a row in a routing table.
const MaxWeight Weight = 10000

// Units.
type (
	// Revision is the number of accepted edits of an object; the larger one is newer.
	Revision uint64
	// Era counts the returns of a store to an older copy of its content; the larger one is newer. It is 0 where the store does not
	// count them.
	Era uint64
	// Incarnation identifies one run of an instance or backend server; the larger one is newer.
	Incarnation uint64
	// Attempt identifies one version rollout of a service; the larger one is newer.
	Attempt uint64
	// Weight is a relative share of calls, 0 to MaxWeight.
	Weight uint32
	// Slots counts calls in flight.
	Slots int32
	// Share is a part of a whole in per mille, 0 to FullShare.
	Share uint32
	// Bytes counts bytes.
	Bytes int64
	// MegabitsPerSecond is the capacity of a link in Mbit/s.
	MegabitsPerSecond uint32
)

// MaxDuration is the longest duration that is read from a number.
const MaxDuration = 365 * 24 * time.Hour

// DurationOf returns n units of time, at least 0 and at most MaxDuration. It returns 0 if n is not a number. Without the
// limits the result for large numbers would depend on the processor.
func DurationOf(n float64, unit time.Duration) time.Duration {
	d := n * float64(unit)
	switch {
	case d >= float64(MaxDuration):
		return MaxDuration
	case d > 0:
		return time.Duration(d)
	default:
		return 0
	}
}

// Duration is a time.Duration with a text form such as "250ms", for settings and messages.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText implements encoding.TextUnmarshaler. Negative durations are an error.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return Error.Wrap(err)
	}
	if v < 0 {
		return Error.New("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}

// Of returns the share of n, rounded down.
func (s Share) Of(n Slots) Slots {
	v := int64(n) * int64(s) / int64(FullShare)
	return Slots(min(v, math.MaxInt32))
}
