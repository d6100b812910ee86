package ctrl

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/probe"
	"goldcreststand.example/core/route"
)

// probePlanInterval is the time between two runs of the probe planner. It is shorter than the time between
// two probes of a server; planning on every tick would cost a third of the time that health handling takes.
const probePlanInterval = 500 * time.Millisecond

// SendWarmQuery requests a query that asks the instance at To which of the servers are warm. The response is a
// WarmReplyReceived event.
type SendWarmQuery struct {
	To      netip.AddrPort
	Service ident.ServiceName
	Servers []health.ServerIncarnation
}

// WarmReplyReceived lists the servers that their owner reports to be warm.
type WarmReplyReceived struct {
	Service ident.ServiceName
	Servers []health.ServerIncarnation
}

// WarmQueryReceived is a warm query from another instance. Reply must have room for one value.
type WarmQueryReceived struct {
	Service ident.ServiceName
	Servers []health.ServerIncarnation
	Reply   chan<- []health.ServerIncarnation
}

// SendProbe requests a probe of a server's health and load. The result is a ProbeCompleted event.
type SendProbe struct {
	Service ident.ServiceName
	Server  ident.ServerID
	Address netip.AddrPort
}

// ProbeCompleted is the result of a SendProbe action.
type ProbeCompleted struct {
	Service ident.ServiceName
	Result  health.ProbeResult
	// Bytes is the number of bytes sent and received.
	Bytes ident.Bytes
}

var (
	_ Event = WarmReplyReceived{}
	_ Event = WarmQueryReceived{}
	_ Event = ProbeCompleted{}
)

func (e WarmReplyReceived) apply(st *state) []Action {
	if s, ok := st.services[e.Service]; ok {
		s.backends.tracker.HandleWarmReply(e.Servers, st.now)
	}
	return nil
}

func (e WarmQueryReceived) apply(st *state) []Action {
	var warm []health.ServerIncarnation
	if s, ok := st.services[e.Service]; ok {
		warm = s.backends.tracker.FilterWarm(e.Servers, st.now)
	}
	select {
	case e.Reply <- warm:
	default:
	}
	return nil
}

func (e ProbeCompleted) apply(st *state) []Action {
	if s, ok := st.services[e.Service]; ok {
		s.backends.tracker.ObserveProbe(e.Result, st.now)
		s.backends.planner.ProbeFinished(e.Result.Server, e.Bytes)
	}
	return nil
}

// observe passes outcomes to the health trackers and rollouts of their services.
func (st *state) observe(outcomes []route.TryOutcome) {
	slices.SortStableFunc(outcomes, func(a, b route.TryOutcome) int { return cmp.Compare(a.Service, b.Service) })
	for len(outcomes) > 0 {
		n := outcomes[0].Service
		k := 1
		for k < len(outcomes) && outcomes[k].Service == n {
			k++
		}
		if s, ok := st.services[n]; ok {
			s.observe(outcomes[:k], st)
		}
		outcomes = outcomes[k:]
	}
}

func (s *service) observe(outcomes []route.TryOutcome, st *state) {
	for _, o := range outcomes {
		s.backends.rollout.RecordOutcome(o, s.backends.tracker.Status(o.Server, st.now).FewCalls, st.now)
	}
	s.backends.tracker.Observe(outcomes, st.now)
}

// tickHealth advances the health state of a service's servers and returns the warm queries and probes that
// are due.
func (st *state) tickHealth(n ident.ServiceName, s *service) []Action {
	b := s.backends
	b.tracker.Tick(st.now)
	var out []Action
	for _, q := range b.tracker.DueWarmQueries(st.now) {
		if to, ok := st.peers[q.To]; ok {
			out = append(out, SendWarmQuery{To: to, Service: n, Servers: q.Servers})
		}
	}
	if s.serverList != nil && st.now.Sub(b.lastPlanned) >= probePlanInterval {
		b.lastPlanned = st.now
		out = st.planProbes(n, s, out)
	}
	return out
}

func (st *state) planProbes(n ident.ServiceName, s *service, out []Action) []Action {
	b := s.backends
	var candidates []probe.Candidate
	addresses := make(map[ident.ServerID]netip.AddrPort)
	for _, srv := range s.serverList.Servers {
		status := b.tracker.Status(srv.ID, st.now)
		if !status.Owner || !status.Availability.Available(st.elapsed) {
			continue
		}
		addresses[srv.ID] = srv.Address
		candidates = append(candidates, probe.Candidate{
			Server: srv.ID, AssignedSince: status.OwnerSince, ReadmissionDue: status.ReadmissionDue, LastCall: status.LastCall,
			OutOfService: status.State == health.StateEjected || status.State == health.StateDraining,
		})
	}
	for _, id := range b.planner.Plan(candidates, st.now) {
		out = append(out, SendProbe{Service: n, Server: id, Address: addresses[id]})
	}
	return out
}

// resume updates the time-dependent state after the instance was paused for longer than its last snapshot was
// valid.
func (st *state) resume() {
	for _, s := range st.services {
		s.backends.tracker.Resume(st.now)
		s.backends.rollout.HandleResume(st.now)
		s.backends.planner.ResetBudgets()
	}
}
