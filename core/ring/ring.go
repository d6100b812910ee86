// Package ring decides which instances monitor which others. Each instance pings its successors in the
// order of the names; a successor that does not reply for too long is removed from the list of members in
// the store, which all instances read.
package ring

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// pingedSuccessors is the number of successors that one instance pings. With two, a member is still
	// monitored when one of the instances that ping it is down.
	pingedSuccessors = 2
	// DeadTimeout is the time without a reply after which a member counts as dead. Lookups may not name an
	// instance that has been dead for 6 s; the store and its watches take up to 2 s of that.
	DeadTimeout = 2500 * time.Millisecond
)

// Member is one instance in the list of members.
type Member struct {
	ID     ident.InstanceID
	Domain ident.DomainName
	Region ident.RegionName
	// Traffic is the address for callers, Peer the one for other instances.
	Traffic netip.AddrPort
	Peer    netip.AddrPort
	// LinkCapacity is the capacity of the machine's network link, 0 when it is not known.
	LinkCapacity ident.MegabitsPerSecond
}

// Monitor detects dead successors of one instance. It is not safe for concurrent use.
type Monitor struct {
	self ident.InstanceID
	// lastReplies holds the time of each target's last reply, or the time at which it became a target.
	lastReplies map[ident.InstanceID]time.Time
	// lastReply is the time of the last reply of any target.
	lastReply time.Time
}

// New returns a monitor without targets.
func New(self ident.InstanceID) *Monitor {
	return &Monitor{self: self, lastReplies: make(map[ident.InstanceID]time.Time)}
}

// PingTargets returns the members to ping. While none of the successors replies, the next ones are pinged,
// too, to tell dead successors from a network failure of this instance. Members must be sorted by name.
func (mon *Monitor) PingTargets(members []Member, now time.Time) []Member {
	next := mon.successors(members)
	count := pingedSuccessors
	for count < len(next) && mon.allSilent(next[:count], now) {
		count += pingedSuccessors
	}
	next = next[:min(count, len(next))]
	lastReplies := make(map[ident.InstanceID]time.Time, len(next))
	for _, m := range next {
		at, ok := mon.lastReplies[m.ID]
		if !ok {
			at = now
		}
		lastReplies[m.ID] = at
	}
	mon.lastReplies = lastReplies
	return next
}

// HandleReply notes that a member replied.
func (mon *Monitor) HandleReply(id ident.InstanceID, now time.Time) {
	if _, ok := mon.lastReplies[id]; ok {
		mon.lastReplies[id], mon.lastReply = now, now
	}
}

// HandleResume resets all reply times after this instance was paused.
func (mon *Monitor) HandleResume(now time.Time) {
	for id := range mon.lastReplies {
		mon.lastReplies[id] = now
	}
}

// DeadMembers returns the members that do not reply while another one does. Without a recent reply this
// instance itself may be cut off.
func (mon *Monitor) DeadMembers(now time.Time) []ident.InstanceID {
	if now.Sub(mon.lastReply) >= DeadTimeout/2 {
		return nil
	}
	var out []ident.InstanceID
	for id, at := range mon.lastReplies {
		if now.Sub(at) >= DeadTimeout {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// allSilent reports whether none of the members has replied for half of DeadTimeout.
func (mon *Monitor) allSilent(members []Member, now time.Time) bool {
	for _, m := range members {
		if at, ok := mon.lastReplies[m.ID]; !ok || now.Sub(at) < DeadTimeout/2 {
			return false
		}
	}
	return true
}

// successors returns the other members in their order after this instance.
func (mon *Monitor) successors(members []Member) []Member {
	i, _ := slices.BinarySearchFunc(members, mon.self, func(m Member, id ident.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
	out := make([]Member, 0, len(members))
	for k := range members {
		if m := members[(i+k)%len(members)]; m.ID != mon.self {
			out = append(out, m)
		}
	}
	return out
}
