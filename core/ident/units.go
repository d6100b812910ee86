package ident

import (
	"math"
	"time"
)

// FullShare is the whole of something, in per mille.
const FullShare Share = 1000

// MaxWeight is the largest weight of a row.
const MaxWeight Weight = 10000

// Units.
type (
	// Revision counts the accepted edits of one object; the larger one is newer.
	Revision uint64
	// Incarnation counts the lives of one instance or backend server; the larger one is newer.
	Incarnation uint64
	// Attempt counts the version rollouts of one service; the larger one is newer.
	Attempt uint64
	// Weight is a relative share of calls, 0 to MaxWeight.
	Weight uint32
	// Slots counts calls in flight.
	Slots int32
	// Share is a part of a whole in per mille, 0 to FullShare.
	Share uint32
	// Bytes counts bytes.
	Bytes int64
	// Megabits is the capacity of a link in Mbit/s.
	Megabits uint32
)

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

// Of returns the part of n that the share stands for, rounded down.
func (s Share) Of(n Slots) Slots {
	v := int64(n) * int64(s) / int64(FullShare)
	return Slots(min(v, math.MaxInt32))
}
