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

// maxInstanceConns is the maximum number of connections to another instance.
const maxInstanceConns = 256

// target is the destination of a try. Its server is nil when there is none.
type target struct {
	server *route.Server
	// release frees the slot of the target with the outcome of the try.
	release func(route.TryOutcome)
}

// targetSelector selects the targets of the tries of a call.
type targetSelector interface {
	// first returns the target of the first try. It may wait until the context ends.
	first(ctx context.Context) (target, error)
	// next returns a target that has not been tried, without waiting.
	next(tried []*try) target
	// size returns the number of possible targets.
	size() int
}

var (
	_ targetSelector = (*serverSelector)(nil)
	_ targetSelector = (*instanceSelector)(nil)
)

// serverSelector selects backend servers of a service from the newest snapshot.
type serverSelector struct {
	h      *Handler
	params callParams
	// timeout is the time from now to the deadline of the call.
	timeout time.Duration
}

// service returns the service in the newest snapshot, or nil when the snapshot is no longer valid or lacks the
// service.
func (s *serverSelector) service() *route.Service {
	snap := s.h.snapshots.Load()
	if s.h.elapsed.Elapsed() > snap.ValidUntil {
		return nil
	}
	return snap.Services[s.params.service]
}

func (s *serverSelector) first(ctx context.Context) (target, error) {
	svc := s.service()
	if svc == nil {
		return target{}, &RejectError{Verdict: limit.VerdictFull}
	}
	slot, err := s.h.admission.Acquire(ctx, svc, limit.Call{
		Tenant: s.params.tenant, Class: s.params.class, Deadline: s.h.elapsed.Elapsed() + s.timeout,
	})
	if err != nil {
		return target{}, err
	}
	return target{server: slot.Server, release: slot.Release}, nil
}

func (s *serverSelector) next(tried []*try) target {
	svc := s.service()
	if svc == nil {
		return target{}
	}
	slot := s.h.admission.TryAcquire(svc, func(x *route.Server) bool {
		return slices.ContainsFunc(tried, func(t *try) bool { return t.server != nil && t.server.ID == x.ID })
	})
	if slot == nil {
		return target{}
	}
	return target{server: slot.Server, release: slot.Release}
}

func (s *serverSelector) size() int {
	if svc, ok := s.h.snapshots.Load().Services[s.params.service]; ok {
		return len(svc.Servers)
	}
	return 0
}

// instanceSelector selects instances that serve a service which this instance does not serve. It goes through
// the addresses in turn from a random start.
type instanceSelector struct {
	addresses []netip.AddrPort
	start     int
}

func newInstanceSelector(addresses []netip.AddrPort) *instanceSelector {
	return &instanceSelector{addresses: addresses, start: rand.IntN(max(1, len(addresses)))}
}

func (s *instanceSelector) first(context.Context) (target, error) { return s.next(nil), nil }

func (s *instanceSelector) next(tried []*try) target {
	if len(tried) >= len(s.addresses) {
		return target{}
	}
	a := s.addresses[(s.start+len(tried))%len(s.addresses)]
	return target{
		server:  &route.Server{ID: ident.ServerID(a.String()), Address: a, MaxConns: maxInstanceConns},
		release: func(route.TryOutcome) {},
	}
}

func (s *instanceSelector) size() int { return len(s.addresses) }
