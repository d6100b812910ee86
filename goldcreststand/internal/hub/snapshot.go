package hub

import (
	"slices"
	"time"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
)

// snapshot builds the state that request handling reads.
func (st *state) snapshot() *spread.Snapshot {
	snap := &spread.Snapshot{
		Config: st.config, Services: make(map[ident.ServiceName]*spread.Service),
		Members: st.members, Ready: st.ready(), ShuttingDown: st.shuttingDown, Stop: st.stop,
		WaitByDeadline: st.self.WaitByDeadline,
		CheckRate:      st.self.Bounds.CheckRate * checkRateShare * float64(len(st.servers)) / float64(max(1, len(st.members))),
	}
	if st.config == nil {
		return snap
	}
	for n, r := range st.config.Services {
		snap.Services[n] = st.serviceSnapshot(n, r)
	}
	if !snap.Ready {
		// Without the rollout orders, a version in rollout could count as the stable one.
		return snap
	}
	instances := st.placementInstances()
	for _, s := range st.sortedServers() {
		svcSnap := snap.Services[s.entry.Service]
		if svcSnap == nil || s.entry.Server.Draining || st.evacuated[s.entry.Server.Domain] {
			continue
		}
		st.addToPool(svcSnap, s, instances)
	}
	for n, svcSnap := range snap.Services {
		st.limitTrial(st.service(n), svcSnap)
	}
	return snap
}

func (st *state) serviceSnapshot(n ident.ServiceName, r *rules.Service) *spread.Service {
	s := st.service(n)
	out := &spread.Service{
		Rules: r, LowestPriority: st.config.LowestPriority(n), TrialLimiter: s.trialLimiter, RetryBudget: s.retryBudget,
	}
	if st.self.WaitByDeadline {
		out.Silence = &s.silence
	}
	if s.rollout.Order() != nil {
		out.CanaryShare, out.DefaultCanaryShare = s.rollout.Shares()
		out.LimitTrial = s.rollout.Phase() == canary.PhaseTrial
	}
	return out
}

// addToPool adds the server to the stable or the canary pool, or to neither.
func (st *state) addToPool(svcSnap *spread.Service, s *server, instances []place.Instance) {
	svc := st.service(s.entry.Service)
	srv := st.serverSnapshot(svcSnap.Rules, s, instances)
	o := svc.rollout.Order()
	onTrial := o != nil && o.Version == srv.Version
	switch {
	case onTrial && svc.rollout.Phase() == canary.PhaseReverted:
	case onTrial:
		svcSnap.Canary.Add(srv)
	case slices.Contains(svc.rolledBack, srv.Version):
	case st.admitted(svc, srv.Version):
		svcSnap.Stable.Add(srv)
	}
}

// admitted reports whether servers of the version receive calls without a rollout order. A version that appears
// after the first one waits for its order, which may be read after its servers.
func (st *state) admitted(svc *service, v ident.VersionName) bool {
	from, ok := svc.admittedFrom[v]
	if !ok {
		if len(svc.admittedFrom) > 0 {
			from = st.now.Add(orderWait)
		}
		svc.admittedFrom[v] = from
	}
	return !st.now.Before(from)
}

// limitTrial limits the canary pool to the share of the phase, and empties the stable pool once the new version
// receives all calls.
func (st *state) limitTrial(svc *service, svcSnap *spread.Service) {
	if svc.rollout.Order() == nil || svcSnap.Canary.Size() == 0 {
		return
	}
	switch p := svc.rollout.Phase(); p {
	case canary.PhaseTrial, canary.PhaseQuarter, canary.PhaseHalf:
		// With few servers, each has the load that it has after the rollout, which reveals failures under load.
		n := svcSnap.Canary.Size() * int(p.Share()) / int(ident.FullShare)
		svcSnap.Canary = firstServers(svcSnap.Canary, max(1, n))
	case canary.PhaseWhole, canary.PhaseDone:
		svcSnap.Stable = spread.Pool{}
	case canary.PhaseReverted:
	}
}

// firstServers returns a pool of the first n servers in the order of their ids.
func firstServers(p spread.Pool, n int) spread.Pool {
	all := slices.Concat(p.Local, p.Remote)
	slices.SortFunc(all, func(a, b *spread.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	var out spread.Pool
	for _, s := range all[:min(n, len(all))] {
		out.Add(s)
	}
	return out
}

func (st *state) serverSnapshot(r *rules.Service, s *server, instances []place.Instance) *spread.Server {
	e := s.entry.Server
	return &spread.Server{
		ID: e.ID, Address: e.Address, Domain: e.Domain, Version: e.Version, Slots: e.Slots,
		Local:        e.Domain == st.self.Domain,
		MaxConns:     max(minConnections, int(float64(r.MaxConns)*connectionShare)/st.instances()),
		ColdInterval: st.coldInterval(r, e.ID, instances),
		State:        s.state,
	}
}

// coldInterval returns the minimum time between two calls to the server while it is cold, or 0 when this instance
// does not send to it.
func (st *state) coldInterval(r *rules.Service, id ident.ServerID, instances []place.Instance) time.Duration {
	if r.WarmupRate <= 0 {
		return 0
	}
	sends, ok := st.sendsToCold[id]
	if !ok {
		sends = slices.ContainsFunc(place.First(string(id), instances, coldSenders), func(n place.Instance) bool { return n.ID == st.self.ID })
		st.sendsToCold[id] = sends
	}
	if !sends {
		return 0
	}
	return ident.DurationOf(coldSenders/(r.WarmupRate*coldRateShare), time.Second)
}
