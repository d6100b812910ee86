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

// planInterval is the time between two plans of probes. It is shorter than the time between two probes of a
// server, and planning at every tick would cost a third of the time that health takes.
const planInterval = 500 * time.Millisecond

// AskWarm asks an instance which of the servers are warm. The response is a WarmSeen.
type AskWarm struct {
	To      netip.AddrPort
	Service ident.ServiceName
	Lives   []health.ServerIncarnation
}

// WarmSeen names servers that the instance which warms them up knows to be warm.
type WarmSeen struct {
	Service ident.ServiceName
	Lives   []health.ServerIncarnation
}

// WarmAsked is another instance's AskWarm. Reply must have room for one value.
type WarmAsked struct {
	Service ident.ServiceName
	Lives   []health.ServerIncarnation
	Reply   chan<- []health.ServerIncarnation
}

// Probe asks for the health and load of a server to be read. The result is a Probed.
type Probe struct {
	Service ident.ServiceName
	Server  ident.ServerID
	Address netip.AddrPort
}

// Probed is the result of a Probe.
type Probed struct {
	Service ident.ServiceName
	Report  health.ProbeResult
	// Bytes is the number of bytes sent and received.
	Bytes ident.Bytes
}

var (
	_ Event = WarmSeen{}
	_ Event = WarmAsked{}
	_ Event = Probed{}
)

func (e WarmSeen) apply(st *state) []Action {
	if s, ok := st.services[e.Service]; ok {
		s.backends.tracker.HandleWarmReply(e.Lives, st.now)
	}
	return nil
}

func (e WarmAsked) apply(st *state) []Action {
	var warm []health.ServerIncarnation
	if s, ok := st.services[e.Service]; ok {
		warm = s.backends.tracker.FilterWarm(e.Lives, st.now)
	}
	select {
	case e.Reply <- warm:
	default:
	}
	return nil
}

func (e Probed) apply(st *state) []Action {
	if s, ok := st.services[e.Service]; ok {
		s.backends.tracker.ObserveProbe(e.Report, st.now)
		s.backends.planner.ProbeFinished(e.Report.Server, e.Bytes)
	}
	return nil
}

// observe hands outcomes to the trackers and rollouts of their services.
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

// tickHealth lets time act on the servers of a service and returns the questions and probes that are due.
func (st *state) tickHealth(n ident.ServiceName, s *service) []Action {
	c := s.backends
	c.tracker.Tick(st.now)
	var out []Action
	for _, q := range c.tracker.DueWarmQueries(st.now) {
		if to, ok := st.peers[q.To]; ok {
			out = append(out, AskWarm{To: to, Service: n, Lives: q.Servers})
		}
	}
	if s.listing != nil && st.now.Sub(c.planned) >= planInterval {
		c.planned = st.now
		out = st.planProbes(n, s, out)
	}
	return out
}

func (st *state) planProbes(n ident.ServiceName, s *service, out []Action) []Action {
	c := s.backends
	var candidates []probe.Candidate
	addresses := make(map[ident.ServerID]netip.AddrPort)
	for _, b := range s.listing.Servers {
		v := c.tracker.Status(b.ID, st.now)
		if !v.Owner {
			continue
		}
		addresses[b.ID] = b.Address
		candidates = append(candidates, probe.Candidate{
			Server: b.ID, AssignedSince: v.OwnerSince, ReadmissionDue: v.ReadmissionDue, LastCall: v.LastCall,
			OutOfService: v.State == health.StateEjected || v.State == health.StateDraining,
		})
	}
	for _, id := range c.planner.Plan(candidates, st.now) {
		out = append(out, Probe{Service: n, Server: id, Address: addresses[id]})
	}
	return out
}

// resume tells all that keeps state in time that the instance was paused for longer than its last
// snapshot was valid.
func (st *state) resume() {
	for _, s := range st.services {
		s.backends.tracker.Resume(st.now)
		s.backends.rollout.HandleResume(st.now)
		s.backends.planner.ResetBudgets()
	}
}
