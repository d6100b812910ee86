package health

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Verdict is what traffic and other decisions need to know of a server.
type Verdict struct {
	State State
	// Limit is the largest number of calls in flight that this instance may have at the server.
	Limit ident.Slots
	// Fresh says that the server has had so few calls in its life that their latency says little about
	// its version.
	Fresh bool
	// LastCall and LastProbe are the times of the last news from calls and probes.
	LastCall  time.Time
	LastProbe time.Time
	// Due says that an ejected server is close to its re-admission.
	Due bool
	// First says that this instance is the first in the server's placement order, since FirstSince.
	First      bool
	FirstSince time.Time
}

// Verdict returns the verdict on a server. A server that is not listed gets the limit 0.
func (t *Tracker) Verdict(id ident.ServerID, now time.Time) Verdict {
	s, ok := t.servers[id]
	if !ok {
		return Verdict{State: StateEjected}
	}
	v := Verdict{
		State: s.state, Limit: t.limit(s, now), Fresh: s.fresh(now),
		LastCall: s.lastCall, LastProbe: s.lastProbe,
		First: s.ranked && s.rank == 0, FirstSince: s.firstSince,
	}
	v.Due = s.state == StateEjected && s.until.Sub(now) <= baseEjection/2
	return v
}

func (t *Tracker) limit(s *server, now time.Time) ident.Slots {
	var n ident.Slots
	switch s.state {
	case StateWarming:
		if s.sender(t.takeDelay, now) {
			n = min(s.limit, s.spec.Slots)
		}
	case StateActive:
		n = s.spec.Slots
		if s.judged >= minJudged && s.failRate >= failFraction/2 {
			n = 1
		}
	case StateEjected, StateDraining:
	}
	if s.reported > 0 && now.Before(s.reportedUntil) {
		n = min(n, s.reported)
	}
	return n
}

// DomainDown reports whether the servers of the failure domain fail as a whole.
func (t *Tracker) DomainDown(d ident.DomainName) bool { return t.down[d] }

// Ejected returns the number of ejected servers and the number of servers that could take work, out of
// those at which this instance has slots. When instances have slots at different servers, a bound over all
// servers would let each of them eject all of its own.
func (t *Tracker) Ejected() (ejected, total int) {
	return t.ejected(func(*server) bool { return true })
}

func (t *Tracker) ejected(of func(*server) bool) (ejected, total int) {
	for _, id := range t.ids {
		s := t.servers[id]
		if !s.ranked || !of(s) {
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

// tooMany reports whether more than half of the servers of the version are ejected. A bound over all
// versions would allow the loss of a version, whose calls another one would have to take.
func (t *Tracker) tooMany(v ident.VersionName) bool {
	ejected, total := t.ejected(func(s *server) bool { return s.spec.Version == v })
	return ejected > total/2
}
