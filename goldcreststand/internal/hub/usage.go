package hub

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/usage"
)

const (
	// usageKey is the key by which candidates for the duty of reporting usage are placed.
	usageKey = "usage"
	// maxCandidates is the number of instances that claim the duty when its holder is gone.
	maxCandidates = 3
	// maxReceivers is the number of instances that receive the counts: the holder and the next candidate, or the two next ones.
	maxReceivers = 2
)

// UsageMeter counts the executed calls of this instance.
type UsageMeter interface {
	// Wall returns the smoothed time since the start of 1970 at the boot time.
	Wall(boot time.Duration) time.Duration
	// After returns the counts of the windows after the given one.
	After(w usage.Window) map[usage.Window]usage.WindowCounts
}

// Option changes a loop.
type Option func(*Loop)

// WithUsage makes the instance take part in the duty of reporting usage. The incarnation tells the processes of an instance
// apart.
func WithUsage(s usage.Settings, i ident.Incarnation, m UsageMeter) Option {
	return func(l *Loop) {
		ledger, self := usage.NewLedger(), l.state.self.ID
		l.state.usage = &usageState{
			settings: s, meter: m, ledger: ledger, source: usage.Source{Instance: self, Incarnation: i},
			offset: m.Wall(0), outbox: usage.NewOutbox(usage.Source{Instance: self, Incarnation: i}), reporter: usage.NewReporter(self, s, ledger),
		}
	}
}

// UsageStatus is what an instance knows of the duty of reporting usage.
type UsageStatus struct {
	State  usage.State
	Holder ident.InstanceID
	Token  usage.Token
	// Position is the latest known position of the duty's entry, and Stored the last window whose report is in it.
	Position store.Position
	Stored   usage.Window
}

// usageState is the control state of the usage reports.
type usageState struct {
	settings usage.Settings
	meter    UsageMeter
	source   usage.Source
	ledger   *usage.Ledger
	outbox   *usage.Outbox
	reporter *usage.Reporter
	// candidates are the members in the order in which they claim the duty, or nil after the members changed.
	candidates []ring.Member
	// sendAt is the boot time of the next messages with counts.
	sendAt time.Duration
	// offset is the difference between the wall clock and the boot-time clock.
	offset time.Duration
	status UsageStatus
}

type (
	// ReadDuty reads the duty's entry and posts DutyRead.
	ReadDuty struct{}

	// WriteDuty writes the duty's entry and posts DutyWritten.
	WriteDuty struct{ usage.WriteEntry }

	// SendUsage reports a window and posts UsageSent.
	SendUsage struct{ usage.SendReport }

	// SendCounts sends counts of executed calls to another instance and posts CountsDelivered. Delivered, if not nil, receives
	// a value then; it must not block.
	SendCounts struct {
		To        ring.Member
		Message   usage.Message
		Standing  usage.Standing
		Versions  map[usage.Window]uint64
		Delivered chan<- struct{}
	}
)

func (ReadDuty) action()   {}
func (WriteDuty) action()  {}
func (SendUsage) action()  {}
func (SendCounts) action() {}

// usageTime returns the time on the clocks of the usage reports.
func (st *state) usageTime() usage.Time {
	return usage.Time{Boot: st.boot, Wall: st.boot + st.usage.offset}
}

// tickUsage lets the reporter act, and sends the counts when that is due.
func (st *state) tickUsage() []Action {
	u := st.usage
	if u == nil {
		return nil
	}
	u.offset = u.ledger.Offset(u.meter.Wall(st.boot) - st.boot)
	out := st.handleUsage(usage.Tick{At: st.usageTime(), Rank: st.usageRank(), Alone: len(st.members) <= 1, Era: st.era})
	if st.boot >= u.sendAt {
		out = append(out, st.sendCounts(nil)...)
	}
	return out
}

// handleUsage passes the event to the reporter.
func (st *state) handleUsage(ev usage.Event) []Action {
	u := st.usage
	var out []Action
	for _, a := range u.reporter.Handle(ev) {
		switch a := a.(type) {
		case usage.ReadEntry:
			out = append(out, ReadDuty{})
		case usage.WriteEntry:
			out = append(out, WriteDuty{a})
		case usage.SendReport:
			out = append(out, SendUsage{a})
		}
	}
	s := u.reporter.Standing()
	status := UsageStatus{State: u.reporter.State(), Holder: s.Holder, Token: s.Token, Position: s.Position, Stored: s.Stored}
	if status.State != u.status.State || status.Token != u.status.Token {
		st.logChange("usage duty changed", logrus.Fields{"state": status.State.String(), "holder": s.Holder, "token": s.Token, "era": s.Position.Era, "revision": s.Position.Revision})
	}
	if status.Position != u.status.Position && (status.State == usage.StateHolder || status.State == usage.StateLeft) {
		// Successors wait from the time at which they know the revision.
		u.sendAt = min(u.sendAt, st.boot)
	}
	u.status = status
	return out
}

// usageCandidates returns the members in the order in which they claim the duty. Those with the fastest links come first,
// because the holder receives the counts of all instances.
func (st *state) usageCandidates() []ring.Member {
	if st.usage.candidates != nil {
		return st.usage.candidates
	}
	var fast, slow []place.Instance
	var others []ident.InstanceID
	fastest, byID := ident.MegabitsPerSecond(0), make(map[ident.InstanceID]ring.Member, len(st.members))
	for _, m := range st.members {
		fastest, byID[m.ID] = max(fastest, m.LinkCapacity), m
		if m.ID != st.self.ID {
			others = append(others, m.ID)
		}
	}
	for _, m := range st.members {
		if i := (place.Instance{ID: m.ID, Domain: m.Domain}); m.LinkCapacity == fastest {
			fast = append(fast, i)
		} else {
			slow = append(slow, i)
		}
	}
	for _, i := range slices.Concat(place.Order(usageKey, fast), place.Order(usageKey, slow)) {
		st.usage.candidates = append(st.usage.candidates, byID[i.ID])
	}
	st.usage.ledger.SetMembers(others)
	return st.usage.candidates
}

// usageRank returns this instance's position among the candidates that may succeed the holder, or -1.
func (st *state) usageRank() int {
	rank, holder := 0, st.usage.reporter.Standing().Holder
	for _, m := range st.usageCandidates() {
		switch {
		case st.shuttingDown || rank >= maxCandidates:
			return -1
		case m.ID == st.self.ID:
			return rank
		case m.ID != holder:
			rank++
		}
	}
	return -1
}

// countReceivers returns the holder, if it is a member that has not given the duty up, and the next candidates.
func (st *state) countReceivers() []ring.Member {
	var out []ring.Member
	s := st.usage.reporter.Standing()
	others := slices.DeleteFunc(slices.Clone(st.usageCandidates()), func(m ring.Member) bool { return m.ID == st.self.ID })
	if i := slices.IndexFunc(others, func(m ring.Member) bool { return m.ID == s.Holder }); i >= 0 && s.Lease > 0 {
		out = append(out, others[i])
	}
	for _, m := range others {
		if len(out) < maxReceivers && m.ID != s.Holder {
			out = append(out, m)
		}
	}
	return out
}

// sendCounts merges this instance's counts into its own ledger and sends them to the instances that report them now or later.
func (st *state) sendCounts(delivered chan<- struct{}) []Action {
	u, s := st.usage, st.usage.reporter.Standing()
	all := u.meter.After(s.Stored)
	u.ledger.MergeOwn(u.outbox.Own(all), u.settings.WindowAt(st.usageTime().Wall))
	u.sendAt = st.boot + usage.SendInterval(u.settings, st.usageTime().Wall)
	var out []Action
	var ids []ident.InstanceID
	for _, to := range st.countReceivers() {
		m, versions := u.outbox.Next(to.ID, all)
		m.Clock = u.meter.Wall(st.boot)
		out = append(out, SendCounts{To: to, Message: m, Standing: s, Versions: versions, Delivered: delivered})
		ids = append(ids, to.ID)
	}
	u.outbox.Retain(ids)
	return out
}
