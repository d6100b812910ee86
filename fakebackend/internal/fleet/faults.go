package fleet

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// faults is wire.Faults with zero values for absent fields and with the time from which slow and fail apply.
type faults struct {
	slow                                       float64
	fail, shed, close, truncate, late, crossed ident.Share
	drain, leaving                             bool
	lag, pause                                 time.Duration
	claim                                      *ident.Slots
	activeFrom                                 time.Time
	above                                      ident.Slots
	route                                      ident.RouteName
}

// newFaults returns the faults of a message that is received at the time now.
func newFaults(m *wire.Faults, now time.Time) *faults {
	return &faults{
		slow: valueOrZero(m.Slow), fail: valueOrZero(m.Fail), shed: valueOrZero(m.Shed), close: valueOrZero(m.Close),
		truncate: valueOrZero(m.Truncate), late: valueOrZero(m.Late), crossed: valueOrZero(m.Crossed),
		drain: valueOrZero(m.Drain), leaving: valueOrZero(m.Leaving), pause: valueOrZero(m.Pause).Std(), lag: valueOrZero(m.Lag).Std(), claim: m.Claim,
		activeFrom: now.Add(valueOrZero(m.After).Std()), above: valueOrZero(m.Above), route: valueOrZero(m.Route),
	}
}

// appliesTo reports whether slow and fail apply to a call, given the calls in flight and its route.
func (f *faults) appliesTo(now time.Time, inflight ident.Slots, route ident.RouteName) bool {
	return !now.Before(f.activeFrom) && inflight > f.above && (f.route == "" || f.route == route)
}

// valueOrZero returns the value that p points to, or the zero value if p is nil.
func valueOrZero[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}
