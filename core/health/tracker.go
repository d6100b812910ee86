// Package health decides what one instance may send to each backend server of one service: it warms
// servers up, ejects those that fail or are slow and keeps work from those that drain. Its decisions
// follow the outcomes of the instance's own calls; what servers report about themselves can only reduce
// what is sent.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/roster"
)

// Tracker holds the state of the backend servers of one service as seen by one instance. It is not safe
// for concurrent use.
type Tracker struct {
	service     ident.ServiceName
	self        ident.InstanceID
	rng         *rand.Rand
	warmupDelay time.Duration
	servers     map[ident.ServerID]*server
	// ids holds the keys of servers in order, which makes the result of equal events equal.
	ids []ident.ServerID
	// failedDomains holds the failure domains that fail as a whole.
	failedDomains map[ident.DomainName]bool
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithWarmupDelay sets the time that a new owner waits before it warms servers up. Zero is for an
// instance that knows that it is the only one.
func WithWarmupDelay(d time.Duration) Option { return func(t *Tracker) { t.warmupDelay = d } }

// New returns a tracker without servers.
func New(service ident.ServiceName, self ident.InstanceID, rng *rand.Rand, opts ...Option) *Tracker {
	t := &Tracker{
		service:       service,
		self:          self,
		rng:           rng,
		warmupDelay:   DefaultWarmupDelay,
		servers:       make(map[ident.ServerID]*server),
		failedDomains: make(map[ident.DomainName]bool),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// SetServerList applies the platform's list. A new server and one with a new incarnation start in warm-up.
func (t *Tracker) SetServerList(l *roster.ServerList, now time.Time) {
	seen := make(map[ident.ServerID]bool, len(l.Servers))
	for _, spec := range l.Servers {
		seen[spec.ID] = true
		t.updateServer(spec, now)
	}
	t.ids = t.ids[:0]
	for id := range t.servers {
		if !seen[id] {
			delete(t.servers, id)
			continue
		}
		t.ids = append(t.ids, id)
	}
	slices.Sort(t.ids)
	t.limitEjections(now)
}

func (t *Tracker) updateServer(spec roster.Server, now time.Time) {
	s, ok := t.servers[spec.ID]
	if !ok {
		s = &server{availability: new(notice.Availability)}
		t.servers[spec.ID] = s
		s.restartWarmup(now)
	}
	restarted := ok && spec.Incarnation != s.spec.Incarnation
	drainWithdrawn := s.drainingInList && !spec.Draining
	s.spec, s.drainingInList = spec, spec.Draining
	if restarted {
		s.availability = new(notice.Availability)
	}
	if restarted || drainWithdrawn {
		s.restartWarmup(now)
		s.longMeanLatency = 0
		s.ejections = 0
	}
	if spec.Draining {
		s.drain(now)
	}
}

// SetHolders sets the instances that have slots at each server, the owner first. Servers have different
// owners, which spreads the warm-up over the serving instances.
func (t *Tracker) SetHolders(holders func(ident.ServerID) []ident.InstanceID, now time.Time) {
	for _, id := range t.ids {
		order := holders(id)
		i := slices.Index(order, t.self)
		var first ident.InstanceID
		if len(order) > 0 {
			first = order[0]
		}
		t.servers[id].setRank(i, first, i >= 0, now)
	}
	t.limitEjections(now)
}

// Resume handles the end of a pause that was long enough for other instances to have replaced this one:
// what it knew of warm servers and of its rank may be out of date.
func (t *Tracker) Resume(now time.Time) {
	for _, id := range t.ids {
		s := t.servers[id]
		s.ownerSince = now
		if s.state == StateActive || s.state == StateWarming {
			s.restartWarmup(now)
		}
	}
}

// Tick ends the ejections and announced drainings that are over.
func (t *Tracker) Tick(now time.Time) {
	for _, id := range t.ids {
		s := t.servers[id]
		switch s.state {
		case StateEjected:
			if !now.Before(s.until) {
				s.restartWarmup(now)
			}
		case StateDraining:
			if !s.drainingInList && !now.Before(s.until) {
				s.restartWarmup(now)
			}
		case StateActive:
			if s.ejections > 0 && now.Sub(s.since) >= ejectionResetTime {
				s.ejections = 0
			}
		case StateWarming:
		}
	}
}
