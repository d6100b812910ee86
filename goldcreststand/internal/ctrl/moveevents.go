package ctrl

import (
	"maps"
	"slices"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// SendReport asks for a report to be sent to other serving instances.
type SendReport struct {
	To     []ident.InstanceID
	Report Report
}

// Report is what one serving instance tells the others about a rollout.
type Report struct {
	Sender ident.InstanceID
	canary.SendReport
}

// ReportSeen is another instance's Report.
type ReportSeen struct{ Report Report }

// WriteStatus asks for the status to be joined into the platform's object. The result is a StatusStored
// with what the platform holds then.
type WriteStatus struct{ Status table.Status }

// ReadStatus asks for the platform's object to be read. The result is a StatusStored.
type ReadStatus struct{ Service ident.ServiceName }

// StatusStored is the platform's rollout status of a service, or nil when there is none.
type StatusStored struct {
	Service ident.ServiceName
	Status  *table.Status
}

var (
	_ Event = ReportSeen{}
	_ Event = StatusStored{}
)

func (e ReportSeen) apply(st *state) []Action {
	s, ok := st.services[e.Report.Status.Service]
	if !ok {
		return nil
	}
	r := e.Report
	if r.Asks {
		s.care.rollout.Asked(r.Status, st.now)
	} else {
		s.care.rollout.Join(r.Status, st.now)
	}
	s.care.rollout.Merge(r.Sender, r.Status.Attempt, r.Counts, r.Suspects, st.now)
	return nil
}

func (e StatusStored) apply(st *state) []Action {
	if s, ok := st.services[e.Service]; ok {
		s.care.rollout.Stored(e.Status, st.now)
	}
	return nil
}

// tend lets time act on all services and returns what is due, in a fixed order.
func (st *state) tend() []Action {
	var out []Action
	for _, n := range slices.Sorted(maps.Keys(st.services)) {
		s := st.services[n]
		if s.table == nil || !slices.ContainsFunc(s.shares.serving, st.isSelf) {
			continue
		}
		out = append(out, st.tendHealth(n, s)...)
		out = append(out, st.tendRollout(n, s)...)
	}
	return out
}

func (st *state) tendRollout(n ident.ServiceName, s *service) []Action {
	r := s.care.rollout
	var peers []ident.InstanceID
	for _, node := range s.shares.serving {
		if node.ID != st.self.ID {
			peers = append(peers, node.ID)
		}
	}
	if len(peers) == 0 {
		r.Alone(st.now)
	}
	r.SetMove(s.table.Move, st.now)
	r.SetCapacity(s.capacity(st.now))
	var out []Action
	for _, a := range r.Tick(max(0, slices.IndexFunc(s.shares.serving, st.isSelf)), st.now) {
		switch a := a.(type) {
		case canary.SendReport:
			if len(peers) > 0 {
				out = append(out, SendReport{To: peers, Report: Report{Sender: st.self.ID, SendReport: a}})
			}
		case canary.WriteStatus:
			out = append(out, WriteStatus{Status: a.Status})
		case canary.ReadStatus:
			out = append(out, ReadStatus{Service: n})
		}
	}
	return out
}

func (st *state) isSelf(n place.Node) bool { return n.ID == st.self.ID }
