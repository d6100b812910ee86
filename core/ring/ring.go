// Package ring decides which instances watch over which others. Each instance pings its successors in the
// order of the names; a successor that is silent for too long is removed from the list of members in the
// store, where all instances see it.
package ring

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// successors is the number of instances that one instance pings, so that a member is removed also
	// when one of those that ping it is gone.
	successors = 2
	// SilentTime is the time without a reply after which a member counts as dead. Lookups may not name
	// an instance that has been dead for 6 s; the store and its watches take up to 2 s of that.
	SilentTime = 2500 * time.Millisecond
)

// Member is one instance as the list of members holds it.
type Member struct {
	ID     ident.InstanceID
	Domain ident.DomainName
	Region ident.RegionName
	// Traffic is the address for callers, Peer the one for other instances.
	Traffic netip.AddrPort
	Peer    netip.AddrPort
	// Link is the capacity of the machine's link, 0 when it is not known.
	Link ident.Megabits
}

// Watch is the state of one instance's watch over its successors. It is not safe for concurrent use.
type Watch struct {
	self ident.InstanceID
	// heard holds the time of each target's last reply, or since when it is one.
	heard map[ident.InstanceID]time.Time
	// reply is the time of the last reply of any.
	reply time.Time
}

// New returns a watch without successors.
func New(self ident.InstanceID) *Watch {
	return &Watch{self: self, heard: make(map[ident.InstanceID]time.Time)}
}

// Targets returns the members to ping. When none of the successors replies, those after them are
// pinged too, so that an instance that is cut off itself is told from dead successors. Members must be in the
// order of their names.
func (w *Watch) Targets(members []Member, now time.Time) []Member {
	next := w.after(members)
	count := successors
	for count < len(next) && w.silent(next[:count], now) {
		count += successors
	}
	next = next[:min(count, len(next))]
	heard := make(map[ident.InstanceID]time.Time, len(next))
	for _, m := range next {
		at, ok := w.heard[m.ID]
		if !ok {
			at = now
		}
		heard[m.ID] = at
	}
	w.heard = heard
	return next
}

// Heard notes that a member replied.
func (w *Watch) Heard(id ident.InstanceID, now time.Time) {
	if _, ok := w.heard[id]; ok {
		w.heard[id], w.reply = now, now
	}
}

// Resume gives all members a new time to reply, after this instance was paused.
func (w *Watch) Resume(now time.Time) {
	for id := range w.heard {
		w.heard[id] = now
	}
}

// Dead returns the members that are silent while another one replies. Without a recent reply this instance may
// be the one that is cut off.
func (w *Watch) Dead(now time.Time) []ident.InstanceID {
	if now.Sub(w.reply) >= SilentTime/2 {
		return nil
	}
	var out []ident.InstanceID
	for id, at := range w.heard {
		if now.Sub(at) >= SilentTime {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// silent reports whether all the members have been silent for half of the time after which they count as
// dead.
func (w *Watch) silent(members []Member, now time.Time) bool {
	for _, m := range members {
		if at, ok := w.heard[m.ID]; !ok || now.Sub(at) < SilentTime/2 {
			return false
		}
	}
	return true
}

// after returns the other members in the order in which they follow this instance.
func (w *Watch) after(members []Member) []Member {
	i, _ := slices.BinarySearchFunc(members, w.self, func(m Member, id ident.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
	out := make([]Member, 0, len(members))
	for k := range members {
		if m := members[(i+k)%len(members)]; m.ID != w.self {
			out = append(out, m)
		}
	}
	return out
}
