package usage

import (
	"maps"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// maxSilence is the time without a message from any other instance after which the ledger counts as new.
	maxSilence = 3 * time.Second
	// collectTime is the time after which all instances have sent their counts to a new receiver.
	collectTime = 2500 * time.Millisecond
	// minClocks is the number of other instances' clocks from which on one wrong clock is no majority.
	minClocks = 3
	// maxLead is the number of windows by which the clock of an instance may be ahead.
	maxLead = 2
)

// Source is one process that counts calls.
type Source struct {
	Instance ident.InstanceID
	// Incarnation tells the processes of an instance apart.
	Incarnation ident.Incarnation
}

// Message holds absolute counts of some windows of a process.
type Message struct {
	Source   Source
	Sequence Sequence
	// Clock is the smoothed wall-clock time of the sender at the time of sending.
	Clock   time.Duration
	Windows []Report
}

// ledgerKey is a window of one source.
type ledgerKey struct {
	source Source
	window Window
}

// ledgerCounts holds the counts of the message with the highest sequence number.
type ledgerCounts struct {
	sequence Sequence
	counts   Counts
}

// Ledger merges the counts of all instances. Lost, repeated and reordered messages neither double nor drop a count. It is not
// safe for concurrent use.
type Ledger struct {
	counts map[ledgerKey]ledgerCounts
	// stored is the last window that needs no counts any more, and latest the last one with counts.
	stored, latest Window
	// receivingSince and receivedAt are the boot times of the first and the last message of the current sequence of messages
	// from other instances.
	receivingSince, receivedAt time.Duration
	receiving                  bool
	// members are the other instances, and heardAt the boot time of the last message from each.
	members []ident.InstanceID
	heardAt map[ident.InstanceID]time.Duration
	// offsets holds the difference between each other instance's wall clock and this one's boot-time clock.
	offsets map[ident.InstanceID]time.Duration
}

// NewLedger returns a ledger without counts.
func NewLedger() *Ledger {
	return &Ledger{counts: make(map[ledgerKey]ledgerCounts), heardAt: make(map[ident.InstanceID]time.Duration), offsets: make(map[ident.InstanceID]time.Duration)}
}

// Merge records the message of another instance. Windows well after the current one come from a wrong clock and are dropped.
// It reports whether all were recorded: after a suspension the wrong clock is that of this instance, and the sender must send
// them again.
func (l *Ledger) Merge(m Message, current Window, boot time.Duration) (all bool) {
	if !l.receiving || boot-l.receivedAt > maxSilence {
		l.receiving, l.receivingSince = true, boot
	}
	l.receivedAt, l.heardAt[m.Source.Instance], l.offsets[m.Source.Instance] = boot, boot, m.Clock-boot
	l.MergeOwn(m, current)
	return !slices.ContainsFunc(m.Windows, func(w Report) bool { return w.Window > current+maxLead })
}

// MergeOwn records the counts of this instance.
func (l *Ledger) MergeOwn(m Message, current Window) {
	for _, w := range m.Windows {
		k := ledgerKey{source: m.Source, window: w.Window}
		if old, ok := l.counts[k]; w.Window > current+maxLead || w.Window <= l.stored || ok && old.sequence >= m.Sequence {
			continue
		}
		l.counts[k] = ledgerCounts{sequence: m.Sequence, counts: w.Counts}
		if w.Window > l.latest {
			l.latest = w.Window
			l.prune()
		}
	}
}

// SetMembers sets the other instances, whose counts are expected.
func (l *Ledger) SetMembers(ids []ident.InstanceID) {
	l.members = ids
	gone := func(id ident.InstanceID, _ time.Duration) bool { return !slices.Contains(ids, id) }
	maps.DeleteFunc(l.heardAt, gone)
	maps.DeleteFunc(l.offsets, gone)
}

// Offset returns the difference between the wall clock and this instance's boot-time clock by which windows end: the median over
// the instances, so that a holder with a wrong clock does not report windows before they have ended. Without enough other
// instances it is this instance's own.
func (l *Ledger) Offset(own time.Duration) time.Duration {
	if len(l.offsets) < minClocks {
		return own
	}
	all := slices.Sorted(maps.Values(l.offsets))
	return all[len(all)/2]
}

// HeardSince reports whether every member has sent its counts since the boot time. A member that is suspended or cut off has
// not, and may still send them.
func (l *Ledger) HeardSince(boot time.Duration) bool {
	for _, id := range l.members {
		if at, ok := l.heardAt[id]; !ok || at < boot {
			return false
		}
	}
	return true
}

// Forget drops the windows up to the given one, whose counts are stored.
func (l *Ledger) Forget(stored Window) {
	if stored > l.stored {
		l.stored = stored
		l.prune()
	}
}

func (l *Ledger) prune() {
	maps.DeleteFunc(l.counts, func(k ledgerKey, _ ledgerCounts) bool { return k.window <= l.stored || k.window <= l.latest-MaxWindows })
}

// Total returns the counts of the window, summed over all processes.
func (l *Ledger) Total(w Window) Counts {
	out := make(Counts)
	for k, c := range l.counts {
		if k.window != w {
			continue
		}
		for t, n := range c.counts {
			if n > 0 {
				out[t] += n
			}
		}
	}
	return out
}

// First returns the first window with counts.
func (l *Ledger) First() (Window, bool) {
	first, ok := Window(0), false
	for k := range l.counts {
		if !ok || k.window < first {
			first, ok = k.window, true
		}
	}
	return first, ok
}

// Collected reports whether the other instances have sent their counts to this one for long enough.
func (l *Ledger) Collected(boot time.Duration) bool {
	return l.receiving && boot-l.receivedAt <= maxSilence && boot-l.receivingSince >= collectTime
}
