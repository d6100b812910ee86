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

// view builds what traffic may know.
func (st *state) view() *spread.Snapshot {
	v := &spread.Snapshot{
		Config: st.config, Services: make(map[ident.ServiceName]*spread.Service),
		Members: st.members, Ready: st.ready(), ShuttingDown: st.leaving,
		CheckRate: st.self.Bounds.CheckRate * checkUse * float64(len(st.servers)) / float64(max(1, len(st.members))),
	}
	if st.config == nil {
		return v
	}
	for n, r := range st.config.Services {
		v.Services[n] = st.serviceView(n, r)
	}
	nodes := st.nodes()
	for _, s := range st.sortedServers() {
		sv := v.Services[s.entry.Service]
		if sv == nil || s.entry.Server.Draining || st.out[s.entry.Server.Domain] {
			continue
		}
		st.assign(sv, s, nodes)
	}
	for n, sv := range v.Services {
		st.limitTrial(st.service(n), sv)
	}
	return v
}

func (st *state) serviceView(n ident.ServiceName, r *rules.Service) *spread.Service {
	s := st.service(n)
	s.budget.SetExtra(st.retryExtra())
	out := &spread.Service{Rules: r, LowestPriority: st.config.LowestPriority(n), TrialLimiter: s.meter, RetryBudget: s.budget}
	if s.trial.Order() != nil {
		out.CanaryShare, out.DefaultCanaryShare = s.trial.Shares()
		out.LimitTrial = s.trial.Phase() == canary.PhaseTrial
	}
	return out
}

// assign adds the server to the pool that it takes calls in, if any.
func (st *state) assign(sv *spread.Service, s *server, nodes []place.Instance) {
	svc := st.service(s.entry.Service)
	srv := st.server(sv.Rules, s, nodes)
	o := svc.trial.Order()
	onTrial := o != nil && o.Version == srv.Version
	switch {
	case onTrial && svc.trial.Phase() == canary.PhaseReverted:
	case onTrial:
		sv.Canary.Add(srv)
	case st.admitted(svc, srv.Version):
		sv.Stable.Add(srv)
	}
}

// admitted reports whether servers of the version take calls without an order. A version that appears while
// the instance runs waits for its order, which may be read after the servers.
func (st *state) admitted(svc *service, v ident.VersionName) bool {
	from, ok := svc.known[v]
	if !ok {
		if len(svc.known) > 0 {
			from = st.now.Add(orderTime)
		}
		svc.known[v] = from
	}
	return !st.now.Before(from)
}

// limitTrial keeps a trial to few servers, and the stable servers from calls once the new version has all.
func (st *state) limitTrial(svc *service, sv *spread.Service) {
	if svc.trial.Order() == nil || sv.Canary.Size() == 0 {
		return
	}
	switch p := svc.trial.Phase(); p {
	case canary.PhaseTrial, canary.PhaseQuarter, canary.PhaseHalf:
		// Each server has the load that it will have later, so that one that is bad under load shows it.
		n := sv.Canary.Size() * int(p.Share()) / int(ident.FullShare)
		sv.Canary = firstServers(sv.Canary, max(1, n))
	case canary.PhaseWhole, canary.PhaseDone:
		sv.Stable = spread.Pool{}
	case canary.PhaseReverted:
	}
}

// firstServers returns a pool of the first n servers by name.
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

func (st *state) server(r *rules.Service, s *server, nodes []place.Instance) *spread.Server {
	e := s.entry.Server
	return &spread.Server{
		ID: e.ID, Address: e.Address, Domain: e.Domain, Version: e.Version, Slots: e.Slots,
		Local:        e.Domain == st.self.Domain,
		MaxConns:     max(minConnections, int(float64(r.MaxConns)*connectionUse)/st.instances()),
		ColdInterval: st.coldInterval(r, e.ID, nodes),
		State:        s.memory,
	}
}

// coldInterval returns the least time between two calls to the server while it is cold, or 0 when other
// instances send to it.
func (st *state) coldInterval(r *rules.Service, id ident.ServerID, nodes []place.Instance) time.Duration {
	if r.WarmupRate <= 0 {
		return 0
	}
	owner, ok := st.owner[id]
	if !ok {
		owner = slices.ContainsFunc(place.First(string(id), nodes, coldOwners), func(n place.Instance) bool { return n.ID == st.self.ID })
		st.owner[id] = owner
	}
	if !owner {
		return 0
	}
	return time.Duration(coldOwners / (r.WarmupRate * coldUse) * float64(time.Second))
}
