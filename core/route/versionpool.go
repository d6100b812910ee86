package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// VersionPool holds the servers of a service that run one version.
type VersionPool struct {
	Name ident.VersionName
	// Weight is the version's weight relative to the other versions of the service.
	Weight ident.Weight
	// Servers are those at which this instance has slots.
	Servers []*Server
}

// PickVersion chooses the version for a new call at random, in proportion to the weights, or returns nil if no
// version takes calls. A call that waits for a slot keeps its version: choosing again until a slot is free
// would favour the version with more free slots.
func (s *Service) PickVersion(rng *rand.Rand) *VersionPool {
	var total uint64
	for i := range s.Versions {
		total += uint64(s.Versions[i].Weight)
	}
	if total == 0 {
		return nil
	}
	at := rng.Uint64N(total)
	for i := range s.Versions {
		v := &s.Versions[i]
		if at < uint64(v.Weight) {
			return v
		}
		at -= uint64(v.Weight)
	}
	return nil
}

// Version returns the version with that name, or nil if it takes no calls.
func (s *Service) Version(n ident.VersionName) *VersionPool {
	for i := range s.Versions {
		if s.Versions[i].Name == n {
			return &s.Versions[i]
		}
	}
	return nil
}

// Pick acquires a slot for a call of version v and returns the server, or returns nil if no slot is free.
// If v has no free slot, the call may go to another version of at least the same weight. A lighter version
// therefore never gets more than its share, which limits the harm of a faulty one.
func (s *Service) Pick(p Picker, v *VersionPool, now time.Duration, rng *rand.Rand) *Server {
	if srv := p.Pick(v.Servers, now, rng); srv != nil {
		return srv
	}
	for i := range s.Versions {
		if o := &s.Versions[i]; o != v && o.Weight >= v.Weight {
			if srv := p.Pick(o.Servers, now, rng); srv != nil {
				return srv
			}
		}
	}
	return nil
}

// WithoutServers returns a copy of the service without the servers for which exclude is true, for a retry.
func (s *Service) WithoutServers(exclude func(*Server) bool) *Service {
	out := *s
	out.Servers = slices.DeleteFunc(slices.Clone(s.Servers), exclude)
	out.Versions = slices.Clone(s.Versions)
	for i := range out.Versions {
		// Versions are kept even without servers, to not raise the shares of the others.
		v := &out.Versions[i]
		v.Servers = slices.DeleteFunc(slices.Clone(v.Servers), exclude)
	}
	return &out
}

// GroupByVersion sorts Servers by version and id, removes those whose version has weight 0, and sets Versions.
func (s *Service) GroupByVersion(weight func(ident.VersionName) ident.Weight) {
	slices.SortFunc(s.Servers, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
	s.Servers = slices.DeleteFunc(s.Servers, func(srv *Server) bool { return weight(srv.Version) == 0 })
	s.Versions = nil
	for i := 0; i < len(s.Servers); {
		name, from := s.Servers[i].Version, i
		for i < len(s.Servers) && s.Servers[i].Version == name {
			i++
		}
		s.Versions = append(s.Versions, VersionPool{Name: name, Weight: weight(name), Servers: s.Servers[from:i:i]})
	}
}
