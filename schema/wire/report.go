package wire

import (
	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
)

// FromReport converts the sender's report about a rollout to a message.
func FromReport(sender ident.InstanceID, r canary.Report) *Report {
	out := &Report{
		Service: r.Status.Service, Attempt: r.Status.Attempt, Sender: sender, Status: *FromStatus(&r.Status), Asks: r.StatusRequest,
		Counts: make([]Count, len(r.Counts)), Suspects: make([]Suspect, len(r.BadCalls)),
	}
	for i, c := range r.Counts {
		out.Counts[i] = Count{Version: c.Version, Route: c.Route, Calls: c.Calls, Failures: c.Failures, Timed: c.Timed, Slow: c.Slow}
	}
	for i, b := range r.BadCalls {
		out.Suspects[i] = Suspect{Server: b.Server, Failures: b.Failures, Slow: b.Slow}
	}
	return out
}

// Core converts the message to a report about a rollout.
func (j *Report) Core() (canary.Report, error) {
	st, err := j.Status.Core(j.Service)
	if err != nil {
		return canary.Report{}, err
	}
	out := canary.Report{
		Status: *st, StatusRequest: j.Asks,
		Counts: make([]canary.CallCounts, len(j.Counts)), BadCalls: make([]canary.ServerBadCalls, len(j.Suspects)),
	}
	for i, c := range j.Counts {
		out.Counts[i] = canary.CallCounts{Version: c.Version, Route: c.Route, Calls: c.Calls, Failures: c.Failures, Timed: c.Timed, Slow: c.Slow}
	}
	for i, s := range j.Suspects {
		out.BadCalls[i] = canary.ServerBadCalls{Server: s.Server, Failures: s.Failures, Slow: s.Slow}
	}
	return out, nil
}

// FromIncarnations converts incarnations of backend servers to a message.
func FromIncarnations(n ident.ServiceName, incarnations []health.ServerIncarnation) *Warmth {
	out := &Warmth{Service: n, Lives: make([]Life, len(incarnations))}
	for i, inc := range incarnations {
		out.Lives[i] = Life{Server: inc.Server, Incarnation: inc.Incarnation}
	}
	return out
}

// Core converts the message to incarnations of backend servers.
func (j *Warmth) Core() []health.ServerIncarnation {
	out := make([]health.ServerIncarnation, len(j.Lives))
	for i, inc := range j.Lives {
		out[i] = health.ServerIncarnation{Server: inc.Server, Incarnation: inc.Incarnation}
	}
	return out
}
