package ctrl

import (
	"net/netip"
	"slices"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
)

// SendReport requests sending a rollout report to other instances that serve the service.
type SendReport struct {
	To     []netip.AddrPort
	Report RolloutReport
}

// RolloutReport is the report of one serving instance about a rollout.
type RolloutReport struct {
	Sender ident.InstanceID
	canary.Report
}

// ReportReceived is a rollout report from another instance.
type ReportReceived struct{ Report RolloutReport }

var _ Event = ReportReceived{}

func (e ReportReceived) apply(st *state) []Action {
	s, ok := st.services[e.Report.Status.Service]
	if !ok {
		return nil
	}
	r := e.Report
	if r.StatusRequest {
		s.backends.rollout.HandleStatusRequest(r.Status, st.now)
	} else {
		s.backends.rollout.HandlePeerStatus(r.Status, st.now)
	}
	s.backends.rollout.MergeCounts(r.Sender, r.Status.Attempt, r.Counts, r.BadCalls, st.now)
	return nil
}

// tickServices advances all services and returns the actions that are due, in a fixed order.
func (st *state) tickServices() []Action {
	var out []Action
	rollouts := 0
	for _, s := range st.services {
		if s.backends.rollout.Active(st.now) && slices.ContainsFunc(s.shares.serving, st.isSelf) {
			rollouts++
		}
	}
	for _, n := range st.serviceNames {
		s := st.services[n]
		if s.table == nil || !slices.ContainsFunc(s.shares.serving, st.isSelf) {
			continue
		}
		out = append(out, st.tickHealth(n, s)...)
		out = append(out, st.tickRollout(s, rollouts)...)
	}
	return out
}

func (st *state) tickRollout(s *service, rollouts int) []Action {
	r := s.backends.rollout
	if !slices.ContainsFunc(s.shares.serving, st.isOther) {
		r.HandleNoPeers(st.now)
	}
	r.SetSpec(s.table.Rollout, st.now)
	r.SetCapacity(s.rolloutCapacity(st.now))
	var out []Action
	if report := r.Tick(rollouts, st.now); report != nil {
		a := SendReport{Report: RolloutReport{Sender: st.self.ID, Report: *report}}
		for _, inst := range s.shares.serving {
			if to, ok := st.peers[inst.ID]; ok && st.isOther(inst) {
				a.To = append(a.To, to)
			}
		}
		if len(a.To) > 0 {
			out = append(out, a)
		}
	}
	if status, ok := r.Status(); ok && status.Newer(s.status) {
		// The distribution stores the status on the platform and sends it to the instances that don't
		// exchange reports.
		out = append(out, st.handleDistEvent(dist.StatusChanged{Status: &status})...)
	}
	return out
}

func (st *state) isSelf(inst place.Instance) bool { return inst.ID == st.self.ID }

func (st *state) isOther(inst place.Instance) bool { return inst.ID != st.self.ID }
