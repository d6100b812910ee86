// Package health decides what one instance may send to each backend server of one service: it warms
// servers up, ejects those that fail or are slow and keeps work from those that drain. It trusts the
// outcomes of the instance's own calls; what servers report about themselves can only lower trust.
package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
)

// Tracker holds the state of the backend servers of one service as one instance sees them. It is not
// safe for concurrent use.
type Tracker struct {
	service   ident.ServiceName
	self      ident.InstanceID
	rng       *rand.Rand
	takeDelay time.Duration
	servers   map[ident.ServerID]*server
	// ids holds the keys of servers in order, so that the same events always have the same result.
	ids []ident.ServerID
	// down holds the failure domains that fail as a whole.
	down map[ident.DomainName]bool
}

// Option changes a Tracker.
type Option func(*Tracker)

// WithTakeDelay sets the time that the first instance waits before it warms servers up. Zero suits an
// instance that knows that it is alone.
func WithTakeDelay(d time.Duration) Option { return func(t *Tracker) { t.takeDelay = d } }

// New returns a tracker without servers.
func New(service ident.ServiceName, self ident.InstanceID, rng *rand.Rand, opts ...Option) *Tracker {
	t := &Tracker{
		service:   service,
		self:      self,
		rng:       rng,
		takeDelay: DefaultTakeDelay,
		servers:   make(map[ident.ServerID]*server),
		down:      make(map[ident.DomainName]bool),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// SetListing follows the platform's list. A new server and one with a new incarnation start cold.
func (t *Tracker) SetListing(l *roster.ServerList, now time.Time) {
	seen := make(map[ident.ServerID]bool, len(l.Servers))
	for _, spec := range l.Servers {
		seen[spec.ID] = true
		t.list(spec, now)
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
	t.boundEjections(now)
}

func (t *Tracker) list(spec roster.Server, now time.Time) {
	s, ok := t.servers[spec.ID]
	if !ok {
		s = &server{}
		t.servers[spec.ID] = s
		s.cold(now)
	}
	restarted := ok && spec.Incarnation != s.spec.Incarnation
	back := s.listLeaving && !spec.Draining
	s.spec, s.listLeaving = spec, spec.Draining
	if restarted || back {
		s.cold(now)
		s.base = 0
		s.ejections = 0
	}
	if spec.Draining {
		s.drain(now)
	}
}

// SetHolders sets the instances that have slots at each server, the one that warms it up first. Different
// servers have different first instances, so that the warm-up is spread over the serving instances.
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
	t.boundEjections(now)
}

// Resume tells the tracker that the instance was paused for so long that others may have taken its
// place: what it knew of warm servers and of its rank may be out of date.
func (t *Tracker) Resume(now time.Time) {
	for _, id := range t.ids {
		s := t.servers[id]
		s.firstSince = now
		if s.state == StateActive || s.state == StateWarming {
			s.cold(now)
		}
	}
}

// Tick lets time act: ejections and announced drainings end.
func (t *Tracker) Tick(now time.Time) {
	for _, id := range t.ids {
		s := t.servers[id]
		switch s.state {
		case StateEjected:
			if !now.Before(s.until) {
				s.cold(now)
			}
		case StateDraining:
			if !s.listLeaving && !now.Before(s.until) {
				s.cold(now)
			}
		case StateActive:
			if s.ejections > 0 && now.Sub(s.since) >= forgetEjections {
				s.ejections = 0
			}
		case StateWarming:
		}
	}
}
