// Package load generates calls to a service through goldcreststand, checks the responses and measures latencies.
package load

import (
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
)

// Error is the class of the errors of this package.
var Error = errs.Class("load")

// Plan describes the load of a run.
type Plan struct {
	// Instances are traffic addresses of instances at which the service is looked up.
	Instances []string
	Service   ident.ServiceName
	// Rate is in calls per second outside bursts.
	Rate     int
	Duration time.Duration
	// Timeout is the deadline of a call.
	Timeout time.Duration
	// WriteShare is the share of calls that are not idempotent.
	WriteShare ident.Share
	// Tenants are the tenants to which calls are assigned in turn.
	Tenants []ident.TenantName
	// BurstInterval is the time from one burst to the next; 0 means no bursts.
	BurstInterval time.Duration
	// BurstLength is the length of a burst.
	BurstLength time.Duration
	// BurstFactor multiplies the rate in a burst.
	BurstFactor int
	// Seed is the seed of the random numbers. Runs with the same seed generate the same sequence of calls.
	Seed uint64
}

// Validate returns an error that names the first value that is not allowed.
func (p *Plan) Validate() error {
	switch {
	case len(p.Instances) == 0:
		return Error.New("no instance address is given")
	case p.Rate < 1 || p.Rate > 100_000:
		return Error.New("rate %d is not between 1 and 100000 calls per second", p.Rate)
	case p.Duration <= 0 || p.Duration > time.Hour:
		return Error.New("time %s is not between 0 and 1h", p.Duration)
	case p.Timeout <= 0:
		return Error.New("timeout %s is not positive", p.Timeout)
	case p.WriteShare > ident.FullShare:
		return Error.New("share of writes %d is above %d per mille", p.WriteShare, ident.FullShare)
	case p.BurstInterval > 0 && (p.BurstLength <= 0 || p.BurstLength > p.BurstInterval || p.BurstFactor < 1):
		return Error.New("bursts of %s every %s with factor %d are not valid", p.BurstLength, p.BurstInterval, p.BurstFactor)
	}
	return nil
}

// rateAt returns the rate, in calls per second, at the time d after the start.
func (p *Plan) rateAt(d time.Duration) int {
	if p.BurstInterval > 0 && d%p.BurstInterval >= p.BurstInterval-p.BurstLength {
		return p.Rate * p.BurstFactor
	}
	return p.Rate
}
