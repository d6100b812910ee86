package wire

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/usage"
)

// FromUsage converts counts of executed calls, and what their sender knows of the duty, to a message.
func FromUsage(m usage.Message, s usage.Standing) *UsageMessage {
	out := &UsageMessage{
		Sender: m.Source.Instance, Incarnation: m.Source.Incarnation, Sequence: m.Sequence, Standing: FromStanding(s),
		Clock: int(m.Clock.Milliseconds()), Windows: make([]WindowCounts, len(m.Windows)),
	}
	for i, w := range m.Windows {
		counts := make(map[string]uint64, len(w.Counts))
		for t, n := range w.Counts {
			counts[string(t)] = n
		}
		out.Windows[i] = WindowCounts{Window: w.Window, Counts: counts}
	}
	return out
}

// Core converts the message to counts of executed calls.
func (j *UsageMessage) Core() usage.Message {
	out := usage.Message{
		Source: usage.Source{Instance: j.Sender, Incarnation: j.Incarnation}, Sequence: j.Sequence,
		Clock: time.Duration(j.Clock) * time.Millisecond, Windows: make([]usage.Report, len(j.Windows)),
	}
	for i, w := range j.Windows {
		counts := make(usage.Counts, len(w.Counts))
		for t, n := range w.Counts {
			counts[ident.TenantName(t)] = n
		}
		out.Windows[i] = usage.Report{Window: w.Window, Counts: counts}
	}
	return out
}

// FromStanding converts what an instance knows of the duty to a message.
func FromStanding(s usage.Standing) Standing {
	return Standing{Holder: string(s.Holder), Token: s.Token, Lease: int(s.Lease.Milliseconds()), Revision: s.Position.Revision, Era: eraField(s.Position.Era), Stored: s.Stored}
}

// Core converts the message to what an instance knows of the duty.
func (j *Standing) Core() usage.Standing {
	return usage.Standing{
		Holder: ident.InstanceID(j.Holder), Token: j.Token, Lease: time.Duration(j.Lease) * time.Millisecond, Stored: j.Stored,
		Position: store.Position{Era: eraOf(j.Era), Revision: j.Revision},
	}
}
