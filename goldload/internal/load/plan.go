// Package load calls a service through goldcreststand and measures the responses.
package load

import (
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
)

// Error is the class of the errors of this package.
var Error = errs.Class("load")

// Plan says what load to put on a service.
type Plan struct {
	// Instances are traffic addresses at which the service is looked up.
	Instances []string
	Service   ident.ServiceName
	// Rate is in calls per second outside bursts.
	Rate int
	Time time.Duration
	// Timeout is the deadline of a call.
	Timeout time.Duration
	// Writes is the share of calls that are not idempotent.
	Writes ident.Share
	// Tenants are named in turn.
	Tenants []ident.TenantName
	// Every is the time from one burst to the next; 0 makes no bursts.
	Every time.Duration
	// Length is the length of a burst.
	Length time.Duration
	// Factor multiplies the rate in a burst.
	Factor int
	// Seed makes the sequence of calls the same on every run.
	Seed uint64
}

// Check returns an error that names the first value that is not allowed.
func (p *Plan) Check() error {
	switch {
	case len(p.Instances) == 0:
		return Error.New("no instance is named")
	case p.Rate < 1 || p.Rate > 100_000:
		return Error.New("rate %d is not between 1 and 100000 calls per second", p.Rate)
	case p.Time <= 0 || p.Time > time.Hour:
		return Error.New("time %s is not between 0 and 1h", p.Time)
	case p.Timeout <= 0:
		return Error.New("timeout %s is not positive", p.Timeout)
	case p.Writes > ident.FullShare:
		return Error.New("share of writes %d is above %d per mille", p.Writes, ident.FullShare)
	case p.Every > 0 && (p.Length <= 0 || p.Length > p.Every || p.Factor < 1):
		return Error.New("bursts of %s every %s with factor %d are not possible", p.Length, p.Every, p.Factor)
	}
	return nil
}

// rateAt returns the rate in calls per second at a time since the start.
func (p *Plan) rateAt(d time.Duration) int {
	if p.Every > 0 && d%p.Every >= p.Every-p.Length {
		return p.Rate * p.Factor
	}
	return p.Rate
}
