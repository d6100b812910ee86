package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcreststand.example/core/ident"
)

// Outcome is the outcome of a call as its caller sees it.
type Outcome int

// Outcomes of calls.
const (
	// OutcomeCompleted is a successful response within the deadline.
	OutcomeCompleted Outcome = iota
	// OutcomeRejected is a call that was not executed.
	OutcomeRejected
	// OutcomeLate is a call that was sent to a server and did not complete before its deadline.
	OutcomeLate
	// OutcomeFailed is a response that reports a server error.
	OutcomeFailed
	outcomeCount
)

// Report holds the results of a run. The histograms are in microseconds.
type Report struct {
	outcomes [outcomeCount]int
	latency  *hdrhistogram.Histogram
	// steady and steadyRejected count the calls of the tenants without bursts, and urgent and
	// urgentRejected those of the urgent class.
	steady, steadyRejected int
	urgent, urgentRejected int
	// rejectionTime is the time from the start of a call to its rejection.
	rejectionTime *hdrhistogram.Histogram
	// MaxExcess is the largest number of calls by which the calls in flight at a server exceeded its slots.
	MaxExcess ident.Slots
}

func newReport() *Report {
	return &Report{
		latency:       hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		rejectionTime: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (r *Report) add(c *call, now time.Duration, o Outcome) {
	r.outcomes[o]++
	switch o {
	case OutcomeCompleted:
		_ = r.latency.RecordValue((now - c.start).Microseconds())
	case OutcomeRejected:
		_ = r.rejectionTime.RecordValue((now - c.start).Microseconds())
	default:
	}
	if c.Tenant != burstTenant {
		r.steady++
		if o == OutcomeRejected {
			r.steadyRejected++
		}
	}
	if c.Class == urgentClass {
		r.urgent++
		if o == OutcomeRejected {
			r.urgentRejected++
		}
	}
}

// Calls returns the number of calls.
func (r *Report) Calls() int {
	n := 0
	for _, count := range r.outcomes {
		n += count
	}
	return n
}

// Fraction returns the fraction of calls with the outcome, from 0 to 1.
func (r *Report) Fraction(o Outcome) float64 { return ratio(r.outcomes[o], r.Calls()) }

// SteadyRejected returns the fraction of the calls of tenants without bursts that were rejected.
func (r *Report) SteadyRejected() float64 { return ratio(r.steadyRejected, r.steady) }

// UrgentRejected returns the fraction of the urgent calls that were rejected.
func (r *Report) UrgentRejected() float64 { return ratio(r.urgentRejected, r.urgent) }

// Latency returns the percentile q of the latency of completed calls.
func (r *Report) Latency(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// RejectionTime returns the percentile q of the time from the start of a call to its rejection.
func (r *Report) RejectionTime(q float64) time.Duration {
	return time.Duration(r.rejectionTime.ValueAtQuantile(q)) * time.Microsecond
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
