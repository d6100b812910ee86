package proxy

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
)

// hopConnections is the largest number of connections to another instance.
const hopConnections = 256

// targets chooses where a try of a call is sent.
type targets interface {
	// pick takes a slot at a server that is not among the tried ones. It returns nil when there is
	// none. The caller releases the slot.
	pick(tried []*try) *route.Server
	// size returns the number of places that a call can be sent to.
	size() int
}

var (
	_ targets = (*serverTargets)(nil)
	_ targets = (*hopTargets)(nil)
)

// randoms holds generators, so that traffic goroutines need no lock for one.
var randoms = sync.Pool{New: func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }}

// serverTargets are the backend servers of a service in the newest snapshot.
type serverTargets struct {
	h       *Handler
	service ident.ServiceName
}

func (s *serverTargets) pick(tried []*try) *route.Server {
	snap := s.h.snapshots.Load()
	if s.h.elapsed.Elapsed() > snap.ValidUntil {
		return nil
	}
	svc, ok := snap.Services[s.service]
	if !ok {
		return nil
	}
	servers := svc.Servers
	if len(tried) > 0 {
		servers = slices.DeleteFunc(slices.Clone(servers), func(x *route.Server) bool {
			return slices.ContainsFunc(tried, func(t *try) bool { return t.server != nil && t.server.ID == x.ID })
		})
	}
	rng := randoms.Get().(*rand.Rand)
	defer randoms.Put(rng)
	return s.h.picker.Pick(servers, rng)
}

// hopTargets are the instances that serve a service which this one does not serve.
type hopTargets struct {
	entries []netip.AddrPort
	start   int
}

func (s *serverTargets) size() int {
	if svc, ok := s.h.snapshots.Load().Services[s.service]; ok {
		return len(svc.Servers)
	}
	return 0
}

func newHopTargets(entries []netip.AddrPort) *hopTargets {
	return &hopTargets{entries: entries, start: rand.IntN(max(1, len(entries)))}
}

func (s *hopTargets) size() int { return len(s.entries) }

func (s *hopTargets) pick(tried []*try) *route.Server {
	if len(tried) >= len(s.entries) {
		return nil
	}
	a := s.entries[(s.start+len(tried))%len(s.entries)]
	srv := &route.Server{ID: ident.ServerID(a.String()), Address: a, Connections: hopConnections, Load: new(route.Load)}
	srv.Load.Acquire(1)
	return srv
}
