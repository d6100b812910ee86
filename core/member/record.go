// Package member decides which instances are alive: by gossip and failure detection after SWIM (Das,
// Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
// protocol", 2002). A Core takes typed events that carry the time and returns typed actions.
package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// refutationBits is the number of low bits of an incarnation that count refutations; the bits above them
// name the life of a process. An instance keeps its addresses for one life, so a record without
// addresses is complete for everyone who knows the same life. 1,023 refutations fit in a life; the
// next one costs a full record only.
const refutationBits = 10

// Sizes of a record in bytes when encoded, without its names. They only serve the gossip budget.
const (
	shortSize ident.Bytes = 18
	fullSize  ident.Bytes = 130
)

// Record is what is known of one instance.
type Record struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
	State       State
	// Domain, Region, Traffic and Peer are empty in a short record.
	Domain ident.DomainName
	Region ident.RegionName
	// Traffic is the address for callers.
	Traffic netip.AddrPort
	// Peer is the address for other instances.
	Peer netip.AddrPort
}

// FirstIncarnation returns the incarnation of a process that starts at the given time. It is larger than
// that of an earlier process of the same name, without anything kept on a disk, because a process
// refutes fewer than 1,024 times a second.
func FirstIncarnation(start time.Time) ident.Incarnation {
	return ident.Incarnation(max(start.Unix(), 0)) << refutationBits
}

// Newer reports whether r replaces other under the join: by incarnation, then by state.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.State > other.State
}

// Live reports whether the instance may serve: a suspected one still does.
func (r Record) Live() bool { return r.State == StateAlive || r.State == StateSuspect }

// Full reports whether the record has addresses.
func (r Record) Full() bool { return r.Peer.IsValid() }

// Short returns the record without what the receiver knows already.
func (r Record) Short() Record {
	return Record{ID: r.ID, Incarnation: r.Incarnation, State: r.State}
}

// size estimates the encoded size.
func (r Record) size() ident.Bytes {
	n := ident.Bytes(len(r.ID))
	if !r.Full() {
		return n + shortSize
	}
	return n + fullSize + ident.Bytes(len(r.Domain)+len(r.Region))
}

// fillFrom fills a short record from an older one of the same instance.
func (r Record) fillFrom(older Record) Record {
	if !r.Full() {
		r.Domain, r.Region, r.Traffic, r.Peer = older.Domain, older.Region, older.Traffic, older.Peer
	}
	return r
}

func sameProcess(a, b ident.Incarnation) bool { return a>>refutationBits == b>>refutationBits }

func nextProcess(i ident.Incarnation) ident.Incarnation {
	return (i>>refutationBits + 1) << refutationBits
}
