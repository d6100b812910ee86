package hub

import (
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/usage"
)

type (
	// UsageReply is what this instance replies to counts of another one.
	UsageReply struct {
		Source   usage.Source
		Standing usage.Standing
	}

	// CountsReceived holds counts of another instance. Reply must not block. An instance that takes no part in the duty drops
	// the counts.
	CountsReceived struct {
		Message  usage.Message
		Standing usage.Standing
		Reply    chan<- UsageReply
	}

	// CountsDelivered reports that another instance has merged counts of this one.
	CountsDelivered struct {
		UsageReply
		Versions map[usage.Window]uint64
	}

	// DutyRead holds the duty's entry in the store.
	DutyRead struct {
		Entry    usage.Entry
		Position store.Position
		Err      error
	}

	// DutyWritten reports the result of writing the duty's entry. The revision is 0 if the store did not return it.
	DutyWritten struct {
		Position store.Position
		Err      error
	}

	// UsageSent reports the outcome of a report.
	UsageSent struct {
		Window  usage.Window
		Outcome usage.Outcome
	}

	// FlushCounts sends the counts at once. Receivers receives the number of instances that they are sent to, and Delivered a
	// value for each that has merged them; neither may block.
	FlushCounts struct {
		Receivers chan<- int
		Delivered chan<- struct{}
	}
)

var (
	_ Event = CountsReceived{}
	_ Event = CountsDelivered{}
	_ Event = DutyRead{}
	_ Event = DutyWritten{}
	_ Event = UsageSent{}
	_ Event = FlushCounts{}
)

func (e CountsReceived) apply(st *state) []Action {
	u := st.usage
	if u == nil {
		e.Reply <- UsageReply{Source: usage.Source{Instance: st.self.ID}}
		return nil
	}
	at := st.usageTime()
	merged := u.ledger.Merge(e.Message, u.settings.WindowAt(at.Wall), at.Boot)
	out := st.handleUsage(usage.StandingHeard{At: at, From: e.Message.Source.Instance, Standing: e.Standing})
	reply := UsageReply{Standing: u.reporter.Standing()}
	if merged {
		// Without a source the counts are not acknowledged.
		reply.Source = u.source
	}
	e.Reply <- reply
	return out
}

func (e CountsDelivered) apply(st *state) []Action {
	st.usage.outbox.Acknowledge(e.Source, e.Versions, e.Standing.Stored)
	return st.handleUsage(usage.StandingHeard{At: st.usageTime(), From: e.Source.Instance, Standing: e.Standing})
}

func (e DutyRead) apply(st *state) []Action {
	at := st.usageTime()
	switch {
	case store.ErrNotFound.Has(e.Err):
		return st.handleUsage(usage.EntryRead{At: at, Position: e.Position, Absent: true})
	case e.Err != nil:
		return st.handleUsage(usage.ReadFailed{At: at})
	default:
		return st.handleUsage(usage.EntryRead{At: at, Entry: e.Entry, Position: e.Position})
	}
}

func (e DutyWritten) apply(st *state) []Action {
	at := st.usageTime()
	switch {
	case store.ErrConflict.Has(e.Err), store.ErrNotFound.Has(e.Err):
		return st.handleUsage(usage.WriteRejected{At: at})
	case e.Err != nil:
		return st.handleUsage(usage.WriteUnanswered{At: at})
	default:
		// Successors wait from the time at which they know the revision, which must be known before a report is sent.
		out := st.handleUsage(usage.EntryWritten{At: at, Position: e.Position})
		return append(st.sendCounts(nil), out...)
	}
}

func (e UsageSent) apply(st *state) []Action {
	return st.handleUsage(usage.ReportAnswered{At: st.usageTime(), Window: e.Window, Outcome: e.Outcome})
}

func (e FlushCounts) apply(st *state) []Action {
	if st.usage == nil {
		e.Receivers <- 0
		return nil
	}
	out := st.sendCounts(e.Delivered)
	e.Receivers <- len(out)
	return out
}
