package fleet

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// faults is wire.Faults without absent values, and with the time from which slow and fail apply.
type faults struct {
	slow                                       float64
	fail, shed, close, truncate, late, crossed ident.Share
	drain                                      bool
	lag                                        time.Duration
	claim                                      *ident.Slots
	from                                       time.Time
	above                                      ident.Slots
	route                                      ident.RouteName
}

// newFaults returns the faults that a message sets at the time.
func newFaults(m *wire.Faults, now time.Time) *faults {
	return &faults{
		slow: value(m.Slow), fail: value(m.Fail), shed: value(m.Shed), close: value(m.Close),
		truncate: value(m.Truncate), late: value(m.Late), crossed: value(m.Crossed),
		drain: value(m.Drain), lag: value(m.Lag).Std(), claim: m.Claim,
		from: now.Add(value(m.After).Std()), above: value(m.Above), route: value(m.Route),
	}
}

// bad reports whether slow and fail apply to a call.
func (f *faults) bad(now time.Time, inflight ident.Slots, route ident.RouteName) bool {
	return !now.Before(f.from) && inflight > f.above && (f.route == "" || f.route == route)
}

// value returns what p points to, or the zero value.
func value[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}
