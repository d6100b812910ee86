package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// VersionPool is the part of a service that runs one version.
type VersionPool struct {
	Name ident.VersionName
	// Weight is the version's share of the calls, relative to the other versions of the service.
	Weight ident.Weight
	// Servers have slots for this instance.
	Servers []*Server
}

// PickVersion returns the version that a new call goes to, in proportion to the weights, or nil when no
// version takes work. The version is drawn once per call, before its server: a call that waits
// keeps its version, since drawing again until one has a free slot would favour the emptier version.
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

// Version returns the version of that name, or nil when it takes no work.
func (s *Service) Version(n ident.VersionName) *VersionPool {
	for i := range s.Versions {
		if s.Versions[i].Name == n {
			return &s.Versions[i]
		}
	}
	return nil
}

// Pick takes a slot for a call of version v and returns the server, or returns nil when no slot is
// free. When v has none, the call may go to another version of at least the same weight: this lowers the
// share of the lighter version and never raises it, so that a bad version gets no more than its share.
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

// WithoutServers returns the service without the servers that the function names, for a further try of a call.
func (s *Service) WithoutServers(exclude func(*Server) bool) *Service {
	out := *s
	out.Servers = slices.DeleteFunc(slices.Clone(s.Servers), exclude)
	out.Versions = slices.Clone(s.Versions)
	for i := range out.Versions {
		// A version without servers stays: its share of the calls must not go to the others.
		v := &out.Versions[i]
		v.Servers = slices.DeleteFunc(slices.Clone(v.Servers), exclude)
	}
	return &out
}

// GroupByVersion sets Versions from Servers; weight gives the weight of a version. Servers are sorted by
// version and id; those of a version without weight are removed.
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
