package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
)

// hopConnections is the largest number of connections to another instance.
const hopConnections = 256

// grant is a place that a try may be sent to. Its server is nil when there is none.
type grant struct {
	server *route.Server
	// release gives the place back with the outcome of the try.
	release func(route.TryOutcome)
}

// targets chooses where a try of a call is sent.
type targets interface {
	// first returns the place for the first try. It may wait until the context ends.
	first(ctx context.Context) (grant, error)
	// next returns a place that is not among the tried ones, without waiting.
	next(tried []*try) grant
	// size returns the number of places that a call can be sent to.
	size() int
}

var (
	_ targets = (*serverTargets)(nil)
	_ targets = (*hopTargets)(nil)
)

// serverTargets are the backend servers of a service in the newest snapshot.
type serverTargets struct {
	h    *Handler
	call call
	// timeout is the time from now to the deadline of the call.
	timeout time.Duration
}

// service returns the service in the newest snapshot, or nil when it must not be acted on.
func (s *serverTargets) service() *route.Service {
	snap := s.h.snapshots.Load()
	if s.h.elapsed.Elapsed() > snap.ValidUntil {
		return nil
	}
	return snap.Services[s.call.service]
}

func (s *serverTargets) first(ctx context.Context) (grant, error) {
	svc := s.service()
	if svc == nil {
		return grant{}, &RejectError{limit.VerdictFull}
	}
	slot, err := s.h.admission.Acquire(ctx, svc, limit.Call{
		Tenant: s.call.tenant, Class: s.call.class, Deadline: s.h.elapsed.Elapsed() + s.timeout,
	})
	if err != nil {
		return grant{}, err
	}
	return grant{server: slot.Server, release: slot.Release}, nil
}

func (s *serverTargets) next(tried []*try) grant {
	svc := s.service()
	if svc == nil {
		return grant{}
	}
	slot := s.h.admission.Try(svc, func(x *route.Server) bool {
		return slices.ContainsFunc(tried, func(t *try) bool { return t.server != nil && t.server.ID == x.ID })
	})
	if slot == nil {
		return grant{}
	}
	return grant{server: slot.Server, release: slot.Release}
}

func (s *serverTargets) size() int {
	if svc, ok := s.h.snapshots.Load().Services[s.call.service]; ok {
		return len(svc.Servers)
	}
	return 0
}

// hopTargets are the instances that serve a service which this one does not serve.
type hopTargets struct {
	entries []netip.AddrPort
	start   int
}

func newHopTargets(entries []netip.AddrPort) *hopTargets {
	return &hopTargets{entries: entries, start: rand.IntN(max(1, len(entries)))}
}

func (s *hopTargets) first(context.Context) (grant, error) { return s.next(nil), nil }

func (s *hopTargets) next(tried []*try) grant {
	if len(tried) >= len(s.entries) {
		return grant{}
	}
	a := s.entries[(s.start+len(tried))%len(s.entries)]
	return grant{
		server:  &route.Server{ID: ident.ServerID(a.String()), Address: a, MaxConns: hopConnections},
		release: func(route.TryOutcome) {},
	}
}

func (s *hopTargets) size() int { return len(s.entries) }
