package health

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
)

// ServerStatus is the status of a server for the traffic path and for control decisions.
type ServerStatus struct {
	State State
	// Limit is the largest number of calls in flight that this instance may have at the server.
	Limit ident.Slots
	// FewCalls is set when the server has had too few calls for their latency to be representative of
	// its version.
	FewCalls bool
	// LastCall and LastProbe are the times of the last call outcome and the last probe result.
	LastCall  time.Time
	LastProbe time.Time
	// ReadmissionDue is set when an ejected server is close to its re-admission.
	ReadmissionDue bool
	// Owner is set when this instance is the owner of the server, since OwnerSince.
	Owner      bool
	OwnerSince time.Time
	// Availability holds what the current incarnation of the server has said, or is nil if the server is not listed.
	Availability *notice.Availability
}

// Status returns the status of a server. A server that is not listed has the limit 0.
func (t *Tracker) Status(id ident.ServerID, now time.Time) ServerStatus {
	s, ok := t.servers[id]
	if !ok {
		return ServerStatus{State: StateEjected}
	}
	v := ServerStatus{
		State: s.state, Limit: t.limit(s, now), FewCalls: s.hasFewCalls(now),
		LastCall: s.lastCall, LastProbe: s.lastProbe,
		Owner: s.hasSlots && s.rank == 0, OwnerSince: s.ownerSince, Availability: s.availability,
	}
	v.ReadmissionDue = s.state == StateEjected && s.until.Sub(now) <= baseEjection/2
	return v
}

func (t *Tracker) limit(s *server, now time.Time) ident.Slots {
	var n ident.Slots
	switch s.state {
	case StateWarming:
		if s.maySendInWarmup(t.warmupDelay, now) {
			n = min(s.warmupLimit, s.spec.Slots)
		}
	case StateActive:
		n = s.spec.Slots
		if s.samples >= minSamples && s.failureRate >= maxFailureRate/2 {
			n = 1
		}
	case StateEjected, StateDraining:
	}
	if s.reportedSlots > 0 && now.Before(s.reportedUntil) {
		n = min(n, s.reportedSlots)
	}
	return n
}

// DomainFailed reports whether the servers of the failure domain fail as a whole.
func (t *Tracker) DomainFailed(d ident.DomainName) bool { return t.failedDomains[d] }

// EjectedServers returns the number of ejected servers and the number of servers that are not draining,
// out of those at which this instance has slots. A bound over all servers would let instances with
// slots at different servers each eject all of their own.
func (t *Tracker) EjectedServers() (ejected, total int) {
	return t.countEjected(func(*server) bool { return true })
}

func (t *Tracker) countEjected(include func(*server) bool) (ejected, total int) {
	for _, id := range t.ids {
		s := t.servers[id]
		if !s.hasSlots || !include(s) {
			continue
		}
		switch s.state {
		case StateEjected:
			ejected++
			total++
		case StateActive, StateWarming:
			total++
		case StateDraining:
		}
	}
	return ejected, total
}

// exceedsEjectionBound reports whether more than half of the servers of the version are ejected. A
// bound over all versions would allow all servers of one version to be ejected, and another version
// would have to take its calls.
func (t *Tracker) exceedsEjectionBound(v ident.VersionName) bool {
	ejected, total := t.countEjected(func(s *server) bool { return s.spec.Version == v })
	return ejected > total/2
}
