package hub

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/ring"
)

const (
	// pingInterval is the time between two pings of a member.
	pingInterval = 500 * time.Millisecond
	// reportInterval is the time between two reports about a rollout that runs.
	reportInterval     = 400 * time.Millisecond
	stepReportInterval = 200 * time.Millisecond
	// announceInterval is the least time between two writes of this instance's own entry. Its list comes back
	// through another instance within about a second.
	announceInterval = 2 * time.Second
)

// Action is something that an adapter does for control.
type Action interface {
	action()
}

type (
	// Announce asks to write this instance's entry into the list of members.
	Announce struct{ Member ring.Member }

	// Withdraw asks to remove an entry from the list of members.
	Withdraw struct{ ID ident.InstanceID }

	// Ping asks to ping a member and to post Pong.
	Ping struct{ To ring.Member }

	// Report asks to tell a member the counts of a rollout, and to post Advised with its answer.
	Report struct {
		To      ring.Member
		Service ident.ServiceName
		Report  canary.Report
	}

	// Progress asks to write the phase of a rollout and to post Written.
	Progress struct {
		Order canary.RolloutOrder
		// Age is the time since the order.
		Age time.Duration
	}
)

func (Announce) action() {}
func (Withdraw) action() {}
func (Ping) action()     {}
func (Report) action()   {}
func (Progress) action() {}

type (
	// tick says that time has passed, and whether the process was paused.
	tick struct{ paused bool }

	// Met says that another instance pinged this one.
	Met struct{ Peer netip.AddrPort }

	// Pong says that a member replied.
	Pong struct{ ID ident.InstanceID }

	// Reported takes the counts of another instance. Reply gets whether the new version must get no calls.
	Reported struct {
		Sender  ident.InstanceID
		Service ident.ServiceName
		Report  canary.Report
		Reply   chan<- bool
	}

	// Advised says that the instance that decides found the new version bad.
	Advised struct {
		Service ident.ServiceName
		Attempt ident.Attempt
	}

	// Written says that a write of a rollout's progress ended.
	Written struct {
		Service ident.ServiceName
		Err     error
	}

	// Leave says that the instance shuts down.
	Leave struct{}
)

var (
	_ Event = tick{}
	_ Event = Met{}
	_ Event = Pong{}
	_ Event = Reported{}
	_ Event = Advised{}
	_ Event = Written{}
	_ Event = Leave{}
)

func (e tick) apply(st *state) []Action {
	if e.paused {
		st.belief("process was paused", logrus.Fields{})
		st.watch.HandleResume(st.now)
	}
	st.dropMissing()
	st.admitKnown()
	out := st.announce()
	out = append(out, st.pings()...)
	out = append(out, st.follow()...)
	return append(out, st.rollouts()...)
}

// admitKnown asks for a new view when a version's time without an order is over.
func (st *state) admitKnown() {
	for _, s := range st.services {
		for _, from := range s.known {
			if d := st.now.Sub(from); d >= 0 && d < 2*tickInterval {
				st.changed = true
			}
		}
	}
}

// announce writes this instance's entry when the list of members lacks it.
func (st *state) announce() []Action {
	if st.leaving || !st.loaded[KindMembers] || st.now.Sub(st.announced) < announceInterval {
		return nil
	}
	for _, m := range st.members {
		if m == st.self.Member {
			return nil
		}
	}
	st.announced = st.now
	return []Action{Announce{Member: st.self.Member}}
}

// pings watches over the successors in the ring, and withdraws those that are dead.
func (st *state) pings() []Action {
	if st.leaving || st.now.Sub(st.pinged) < pingInterval {
		return nil
	}
	st.pinged = st.now
	var out []Action
	for _, m := range st.watch.PingTargets(st.members, st.now) {
		out = append(out, Ping{To: m})
	}
	for _, id := range st.watch.DeadMembers(st.now) {
		st.belief("member is dead", logrus.Fields{"member": id, "silent": ring.DeadTimeout.Milliseconds()})
		out = append(out, Withdraw{ID: id})
	}
	return out
}

func (e Met) apply(st *state) []Action {
	st.met = e.Peer
	return nil
}

func (e Pong) apply(st *state) []Action {
	st.watch.HandleReply(e.ID, st.now)
	return nil
}

// rollouts reports to the instances that decide, and decides where this is the one.
func (st *state) rollouts() []Action {
	if st.now.Sub(st.reported) < st.reportInterval() {
		return nil
	}
	st.reported = st.now
	var out []Action
	for n, s := range st.services {
		if !s.trial.Active() {
			continue
		}
		r := s.trial.Report()
		st.changed = true
		switch decider, ok := st.decider(n); {
		case !ok:
		case decider.ID == st.self.ID:
			s.trial.MergeCounts(st.self.ID, r)
			out = append(out, st.decide(s)...)
		default:
			out = append(out, Report{To: decider, Service: n, Report: r})
		}
	}
	return out
}

// reportInterval returns the time between two reports. It is short while a new version takes more calls than
// a bad one may have.
func (st *state) reportInterval() time.Duration {
	for _, s := range st.services {
		if s.trial.Active() && s.trial.Phase() != canary.PhaseTrial {
			return stepReportInterval
		}
	}
	return reportInterval
}

// decider returns the member that decides about the service's rollout.
func (st *state) decider(n ident.ServiceName) (ring.Member, bool) {
	order := place.ServingInstances(n, st.nodes(), 1)
	if len(order) == 0 {
		return ring.Member{}, false
	}
	for _, m := range st.members {
		if m.ID == order[0].ID {
			return m, true
		}
	}
	return ring.Member{}, false
}

// decide writes the next phase of the rollout when there is one. It is in force once the store has it,
// except that a bad version gets no calls from now on.
func (st *state) decide(s *service) []Action {
	o := *s.trial.Order()
	phase, why := s.trial.Decide(st.trialSize(o), st.trialUse(o), st.now)
	if phase == canary.PhaseReverted && s.trial.Phase() != phase {
		s.trial.WithholdCalls()
	}
	if s.writing || o.HasPhase && phase == o.Phase {
		return nil
	}
	st.belief("rollout decided", logrus.Fields{
		"service": o.Service, "version": o.Version, "phase": phase.String(), "reason": why, "age": s.trial.Age(st.now).Milliseconds(),
	})
	s.writing = true
	o.Phase = phase
	return []Action{Progress{Order: o, Age: s.trial.Age(st.now)}}
}

// onTrial reports whether the server runs the ordered version and does not leave.
func (s *server) onTrial(o canary.RolloutOrder) bool {
	return s.entry.Service == o.Service && s.entry.Server.Version == o.Version && !s.entry.Server.Draining
}

// trialSize returns the number of the new version's servers that may take calls.
func (st *state) trialSize(o canary.RolloutOrder) int {
	n := 0
	for _, s := range st.servers {
		if s.onTrial(o) && !st.out[s.entry.Server.Domain] {
			n++
		}
	}
	return n
}

// trialUse returns the mean use of the new version's servers.
func (st *state) trialUse(o canary.RolloutOrder) float64 {
	sum, n := 0.0, 0
	for _, s := range st.servers {
		if use, ok := s.memory.Utilization(); ok && s.onTrial(o) {
			sum += use
			n++
		}
	}
	return sum / float64(max(1, n))
}

func (e Reported) apply(st *state) []Action {
	s := st.service(e.Service)
	bad := false
	if o := s.trial.Order(); o != nil && o.Attempt == e.Report.Status.Attempt {
		s.trial.MergeCounts(e.Sender, e.Report)
		bad = s.trial.Phase() == canary.PhaseReverted
	}
	e.Reply <- bad
	return nil
}

func (e Advised) apply(st *state) []Action {
	s := st.service(e.Service)
	if o := s.trial.Order(); o != nil && o.Attempt == e.Attempt && s.trial.Phase() != canary.PhaseReverted {
		st.belief("rollout withheld", logrus.Fields{"service": e.Service, "version": o.Version})
		s.trial.WithholdCalls()
		st.changed = true
	}
	return nil
}

func (e Written) apply(st *state) []Action {
	st.service(e.Service).writing = false
	if e.Err != nil {
		st.belief("writing the rollout's progress failed", logrus.Fields{"service": e.Service, "error": e.Err.Error()})
	}
	return nil
}

func (Leave) apply(st *state) []Action {
	st.leaving, st.changed = true, true
	st.belief("leaving", logrus.Fields{})
	return []Action{Withdraw{ID: st.self.ID}}
}
