package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// sendInterval is the time between two messages with counts, and shortSendInterval that around the end of a window. It is
	// also the time for which the counts of an instance that dies are lost.
	sendInterval      = time.Second
	shortSendInterval = 500 * time.Millisecond
)

// delivery is what one receiver has acknowledged.
type delivery struct {
	incarnation ident.Incarnation
	versions    map[Window]uint64
}

// Outbox decides which of this process's counts a receiver lacks. It is not safe for concurrent use.
type Outbox struct {
	source     Source
	sequence   Sequence
	deliveries map[ident.InstanceID]*delivery
}

// NewOutbox returns an outbox of the process.
func NewOutbox(s Source) *Outbox {
	return &Outbox{source: s, deliveries: make(map[ident.InstanceID]*delivery)}
}

// SendInterval returns the time until the next message.
func SendInterval(s Settings, wall time.Duration) time.Duration {
	if left := s.End(s.WindowAt(wall)) - wall; left <= sendInterval || left >= s.Window-sendInterval {
		return shortSendInterval
	}
	return sendInterval
}

// Own returns a message with all counts, for this instance's own ledger.
func (o *Outbox) Own(all map[Window]WindowCounts) Message {
	m, _ := o.message(all, func(WindowCounts) bool { return true })
	return m
}

// Next returns a message with the counts that the receiver has not acknowledged, and the versions of the counts in it.
func (o *Outbox) Next(to ident.InstanceID, all map[Window]WindowCounts) (Message, map[Window]uint64) {
	d := o.deliveries[to]
	return o.message(all, func(w WindowCounts) bool { return d == nil || d.versions[w.Window] < w.Version })
}

func (o *Outbox) message(all map[Window]WindowCounts, include func(WindowCounts) bool) (Message, map[Window]uint64) {
	o.sequence++
	m, versions := Message{Source: o.source, Sequence: o.sequence}, make(map[Window]uint64)
	for _, w := range all {
		if include(w) {
			m.Windows = append(m.Windows, w.Report)
			versions[w.Window] = w.Version
		}
	}
	slices.SortFunc(m.Windows, func(a, b Report) int { return cmp.Compare(a.Window, b.Window) })
	return m, versions
}

// Acknowledge records that a process of the receiver has merged the versions. A new process has none of the earlier ones.
func (o *Outbox) Acknowledge(by Source, versions map[Window]uint64, stored Window) {
	d := o.deliveries[by.Instance]
	if d == nil || d.incarnation != by.Incarnation {
		// The message may have left out what an earlier process had; the next one has it.
		known := d == nil
		d = &delivery{incarnation: by.Incarnation, versions: make(map[Window]uint64)}
		o.deliveries[by.Instance] = d
		if !known {
			return
		}
	}
	for w, v := range versions {
		d.versions[w] = max(d.versions[w], v)
	}
	maps.DeleteFunc(d.versions, func(w Window, _ uint64) bool { return w <= stored })
}

// Retain drops what is known of receivers other than the given ones.
func (o *Outbox) Retain(receivers []ident.InstanceID) {
	maps.DeleteFunc(o.deliveries, func(id ident.InstanceID, _ *delivery) bool { return !slices.Contains(receivers, id) })
}
