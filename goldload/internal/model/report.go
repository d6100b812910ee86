package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcreststand.example/core/ident"
)

// End says how a call ended for its caller.
type End int

// Ends of calls.
const (
	// Completed is a response in time.
	Completed End = iota
	// Rejected is a call that was not executed.
	Rejected
	// Late is a call that started and did not end before its deadline.
	Late
	// Failed is a response that reports a server error.
	Failed
	endCount
)

// Report is the outcome of a run. Latencies are in microseconds.
type Report struct {
	ends    [endCount]int
	latency *hdrhistogram.Histogram
	// calm and calmRejected count the calls of the tenants that cause no waves, and urgent and
	// urgentRejected those of the urgent class.
	calm, calmRejected     int
	urgent, urgentRejected int
	// wait is the time until a rejected call learnt of it.
	wait *hdrhistogram.Histogram
	// Over is the largest number of calls in flight at a server above its slots.
	Over ident.Slots
}

func newReport() *Report {
	return &Report{
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		wait:    hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (r *Report) add(c *call, now time.Duration, e End) {
	r.ends[e]++
	switch e {
	case Completed:
		_ = r.latency.RecordValue((now - c.start).Microseconds())
	case Rejected:
		_ = r.wait.RecordValue((now - c.start).Microseconds())
	default:
	}
	if c.Tenant != burster {
		r.calm++
		if e == Rejected {
			r.calmRejected++
		}
	}
	if c.Class == urgentClass {
		r.urgent++
		if e == Rejected {
			r.urgentRejected++
		}
	}
}

// Calls returns the number of calls.
func (r *Report) Calls() int {
	n := 0
	for _, e := range r.ends {
		n += e
	}
	return n
}

// Part returns the part of the calls that ended so, 0 to 1.
func (r *Report) Part(e End) float64 { return ratio(r.ends[e], r.Calls()) }

// CalmRejected returns the part of the calls of tenants without waves that were rejected.
func (r *Report) CalmRejected() float64 { return ratio(r.calmRejected, r.calm) }

// UrgentRejected returns the part of the urgent calls that were rejected.
func (r *Report) UrgentRejected() float64 { return ratio(r.urgentRejected, r.urgent) }

// Latency returns a quantile, in percent, of the latency of completed calls.
func (r *Report) Latency(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// RejectedAfter returns a quantile, in percent, of the time until a rejection.
func (r *Report) RejectedAfter(q float64) time.Duration {
	return time.Duration(r.wait.ValueAtQuantile(q)) * time.Microsecond
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
