package hub

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/core/usage"
)

const (
	// pingInterval is the time between two pings of a member.
	pingInterval = 500 * time.Millisecond
	// reportInterval is the time between two reports about a running rollout, and shortReportInterval that between
	// two reports after the trial phase.
	reportInterval      = 400 * time.Millisecond
	shortReportInterval = 200 * time.Millisecond
	// registerInterval is the minimum time between two writes of this instance's own entry. The updated list can
	// take about a second to arrive through another instance.
	registerInterval = 2 * time.Second
)

// Action is work that the control goroutine passes to an adapter.
type Action interface {
	action()
}

type (
	// RegisterMember writes this instance's entry to the list of members.
	RegisterMember struct{ Member ring.Member }

	// DeregisterMember removes an entry from the list of members.
	DeregisterMember struct{ ID ident.InstanceID }

	// PingMember pings a member and posts PongReceived if it replies.
	PingMember struct{ To ring.Member }

	// SendReport sends a rollout's counts to the member that decides about it. VersionRejected is posted if the
	// reply says that the version is bad.
	SendReport struct {
		To      ring.Member
		Service ident.ServiceName
		Report  canary.Report
	}

	// WriteProgress writes the phase of a rollout and posts ProgressWritten.
	WriteProgress struct {
		Order canary.RolloutOrder
		// Age is the time since the order was given.
		Age time.Duration
	}
)

func (RegisterMember) action()   {}
func (DeregisterMember) action() {}
func (PingMember) action()       {}
func (SendReport) action()       {}
func (WriteProgress) action()    {}

type (
	// tick is posted at each tick. paused reports whether the process was paused before it.
	tick struct{ paused bool }

	// PingReceived reports that another instance pinged this one.
	PingReceived struct{ Peer netip.AddrPort }

	// PongReceived reports that a member replied to a ping.
	PongReceived struct{ ID ident.InstanceID }

	// ReportReceived holds the counts of another instance. Reply receives whether the new version must get no
	// calls.
	ReportReceived struct {
		Sender  ident.InstanceID
		Service ident.ServiceName
		Report  canary.Report
		Reply   chan<- bool
	}

	// VersionRejected reports that the deciding instance found the new version bad.
	VersionRejected struct {
		Service ident.ServiceName
		Attempt ident.Attempt
	}

	// ProgressWritten reports the result of writing a rollout's progress.
	ProgressWritten struct {
		Service ident.ServiceName
		Err     error
	}

	// Shutdown reports that the instance is shutting down, and cuts off calls in flight at the given time.
	Shutdown struct{ Until time.Time }
)

var (
	_ Event = tick{}
	_ Event = PingReceived{}
	_ Event = PongReceived{}
	_ Event = ReportReceived{}
	_ Event = VersionRejected{}
	_ Event = ProgressWritten{}
	_ Event = Shutdown{}
)

func (e tick) apply(st *state) []Action {
	if e.paused {
		st.logChange("process was paused", logrus.Fields{})
		st.monitor.HandleResume(st.now)
	}
	st.deleteRemovedServers()
	st.endLostLeaves()
	st.endLostEvacuations()
	st.checkOrderWaits()
	st.confirmWithoutStore()
	st.countMembers()
	st.limitRetries()
	st.logDeniedRetries()
	out := append(st.expireMembers(), st.register()...)
	out = append(out, st.monitorMembers()...)
	out = append(out, st.chooseSources()...)
	st.logAge()
	out = append(out, st.tickUsage()...)
	return append(out, st.reportRollouts()...)
}

// checkOrderWaits requests a new snapshot when the order wait of a version has ended.
func (st *state) checkOrderWaits() {
	for _, s := range st.services {
		for _, from := range s.admittedFrom {
			if d := st.now.Sub(from); d >= 0 && d < 2*tickInterval {
				st.changed = true
			}
		}
	}
}

// register writes this instance's entry when it is missing from the list of members or differs.
func (st *state) register() []Action {
	if st.shuttingDown || !st.loaded[KindMembers] || st.now.Sub(st.registeredAt) < registerInterval {
		return nil
	}
	if st.memberList.listed[st.self.ID] == st.self.Member {
		return nil
	}
	st.registeredAt = st.now
	return []Action{RegisterMember{Member: st.self.Member}}
}

// monitorMembers pings the successors in the ring and deregisters dead members.
func (st *state) monitorMembers() []Action {
	if st.shuttingDown || st.now.Sub(st.pingedAt) < pingInterval {
		return nil
	}
	st.pingedAt = st.now
	var out []Action
	for _, m := range st.monitor.PingTargets(st.members, st.now) {
		out = append(out, PingMember{To: m})
	}
	for _, id := range st.monitor.DeadMembers(st.now) {
		st.logChange("member is dead", logrus.Fields{"member": id, "silent": ring.DeadTimeout.Milliseconds()})
		out = append(out, DeregisterMember{ID: id})
	}
	return out
}

func (e PingReceived) apply(st *state) []Action {
	st.lastPinger = e.Peer
	return nil
}

func (e PongReceived) apply(st *state) []Action {
	st.monitor.HandleReply(e.ID, st.now)
	return nil
}

// reportRollouts sends this instance's counts to the deciding instances, and decides the rollouts for which this
// is the deciding instance.
func (st *state) reportRollouts() []Action {
	if st.now.Sub(st.reportedAt) < st.reportInterval() {
		return nil
	}
	st.reportedAt = st.now
	out := st.restoreEnds()
	for n, s := range st.services {
		if !s.rollout.Active() {
			continue
		}
		r := s.rollout.Report()
		st.changed = true
		switch decider, ok := st.decider(n); {
		case !ok:
		case decider.ID == st.self.ID:
			s.rollout.MergeCounts(st.self.ID, r)
			out = append(out, st.decide(s)...)
		default:
			out = append(out, SendReport{To: decider, Service: n, Report: r})
		}
	}
	return out
}

// reportInterval returns the time between two reports. It is shorter while a new version receives more calls than
// a bad version may receive.
func (st *state) reportInterval() time.Duration {
	for _, s := range st.services {
		if s.rollout.Active() && s.rollout.Phase() != canary.PhaseTrial {
			return shortReportInterval
		}
	}
	return reportInterval
}

// decider returns the member that decides about the service's rollout.
func (st *state) decider(n ident.ServiceName) (ring.Member, bool) {
	order := place.ServingInstances(n, st.placementInstances(), 1)
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

// decide requests the write of the rollout's next phase, if it changes. The phase takes effect once it is read
// back from the store, except that a bad version stops receiving calls at once.
func (st *state) decide(s *service) []Action {
	if !st.loaded[KindServers] {
		return nil
	}
	o := *s.rollout.Order()
	d := s.rollout.Decide(canary.Servers{New: st.trialServerCount(o), Utilization: st.trialUtilization(o), Others: st.otherServerCount(s)}, st.now)
	if d.Bad {
		s.rollout.WithholdCalls()
	}
	if !st.mayWritePhase(s) || o.HasPhase && d.Phase == o.Phase {
		return nil
	}
	st.logChange("rollout phase decided", logrus.Fields{
		"service": o.Service, "version": o.Version, "phase": d.Phase.String(), "reason": d.Reason, "age": s.rollout.Age(st.now).Milliseconds(),
	})
	return []Action{st.writePhase(s, d.Phase)}
}

// mayWritePhase reports whether a phase of the service's rollout can be written now. The revision on whose condition it is written must be
// of the store's present era: one of an earlier era may name another state.
func (st *state) mayWritePhase(s *service) bool {
	return !s.writingProgress && st.positions[KindOrders].Era == st.era
}

// writePhase returns the write of a phase of the service's rollout.
func (st *state) writePhase(s *service, p canary.Phase) Action {
	o := *s.rollout.Order()
	o.Phase, o.RolledBack = p, slices.Clone(s.rolledBack)
	s.writingProgress = true
	return WriteProgress{Order: o, Age: s.rollout.Age(st.now)}
}

// onTrial reports whether the server runs the ordered version and is not draining.
func (s *server) onTrial(o canary.RolloutOrder) bool {
	return s.entry.Service == o.Service && s.entry.Server.Version == o.Version && !s.entry.Server.Draining
}

// trialServerCount returns the number of the new version's servers that may receive calls.
func (st *state) trialServerCount(o canary.RolloutOrder) int {
	n := 0
	for _, s := range st.servers {
		if s.onTrial(o) && !st.evacuated[s.entry.Server.Domain] {
			n++
		}
	}
	return n
}

// otherServerCount returns the number of servers that calls can go to if the service's rollout is rolled back. Those in a failure
// domain that is out of service count, since it may come back.
func (st *state) otherServerCount(s *service) int {
	o, n := s.rollout.Order(), 0
	for _, srv := range st.servers {
		e := srv.entry
		if e.Service == o.Service && e.Server.Version != o.Version && !e.Server.Draining && !slices.Contains(s.rolledBack, e.Server.Version) {
			n++
		}
	}
	return n
}

// trialUtilization returns the mean utilization of the new version's servers.
func (st *state) trialUtilization(o canary.RolloutOrder) float64 {
	sum, n := 0.0, 0
	for _, s := range st.servers {
		if use, ok := s.state.Utilization(); ok && s.onTrial(o) {
			sum += use
			n++
		}
	}
	return sum / float64(max(1, n))
}

func (e ReportReceived) apply(st *state) []Action {
	s := st.service(e.Service)
	bad := false
	if o := s.rollout.Order(); o != nil && o.Attempt == e.Report.Status.Attempt {
		s.rollout.MergeCounts(e.Sender, e.Report)
		bad = s.rollout.Phase() == canary.PhaseReverted
	}
	e.Reply <- bad
	return nil
}

func (e VersionRejected) apply(st *state) []Action {
	s := st.service(e.Service)
	if o := s.rollout.Order(); o != nil && o.Attempt == e.Attempt && s.rollout.Phase() != canary.PhaseReverted {
		st.logChange("version rejected by the deciding instance", logrus.Fields{"service": e.Service, "version": o.Version})
		s.rollout.WithholdCalls()
		st.changed = true
	}
	return nil
}

func (e ProgressWritten) apply(st *state) []Action {
	st.service(e.Service).writingProgress = false
	if e.Err != nil {
		st.logChange("writing the rollout's progress failed", logrus.Fields{"service": e.Service, "error": e.Err.Error()})
	}
	return nil
}

func (e Shutdown) apply(st *state) []Action {
	st.shuttingDown, st.changed = true, true
	st.stop = spread.Stop{Since: st.now, Until: e.Until}
	st.logChange("shutting down", logrus.Fields{})
	out := []Action{DeregisterMember{ID: st.self.ID}}
	if st.usage != nil {
		out = append(out, st.handleUsage(usage.Leave{At: st.usageTime()})...)
	}
	return out
}
