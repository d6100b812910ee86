// Package member maintains the list of live instances with gossip and failure detection after SWIM (Das,
// Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
// protocol", 2002). A Core takes typed events with a timestamp and returns typed actions.
package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// refutationBits is the number of low bits of an incarnation that count refutations. The bits above them are
// the process number. The addresses of an instance stay the same for one process number, so a receiver that
// knows the process needs no addresses in later records. After 1,023 refutations the next one raises the
// process number, which only costs a full record.
const refutationBits = 10

// Encoded sizes of a record in bytes without its names. They are used for the gossip limit only.
const (
	shortSize ident.Bytes = 18
	fullSize  ident.Bytes = 130
)

// Record is the state of one instance as known here.
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

// FirstIncarnation returns the incarnation of a process that starts at the given time. It is larger than any
// incarnation of an earlier process of the same name, because a process refutes fewer than 1,024 times a
// second. No state on a disk is needed.
func FirstIncarnation(start time.Time) ident.Incarnation {
	return ident.Incarnation(max(start.Unix(), 0)) << refutationBits
}

// Newer reports whether r replaces other in a merge: by incarnation, then by state.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.State > other.State
}

// Live reports whether the instance is alive or suspected. A suspected instance still serves.
func (r Record) Live() bool { return r.State == StateAlive || r.State == StateSuspect }

// Full reports whether the record has addresses.
func (r Record) Full() bool { return r.Peer.IsValid() }

// Short returns the record without domain, region and addresses.
func (r Record) Short() Record {
	return Record{ID: r.ID, Incarnation: r.Incarnation, State: r.State}
}

// size returns the estimated encoded size.
func (r Record) size() ident.Bytes {
	n := ident.Bytes(len(r.ID))
	if !r.Full() {
		return n + shortSize
	}
	return n + fullSize + ident.Bytes(len(r.Domain)+len(r.Region))
}

// fillFrom returns the record with the missing addresses and names taken from an older one of the instance.
func (r Record) fillFrom(older Record) Record {
	if !r.Full() {
		r.Domain, r.Region, r.Traffic, r.Peer = older.Domain, older.Region, older.Traffic, older.Peer
	}
	return r
}

// sameProcess reports whether two incarnations have the same process number.
func sameProcess(a, b ident.Incarnation) bool { return a>>refutationBits == b>>refutationBits }

// nextProcess returns the first incarnation of the next process number.
func nextProcess(i ident.Incarnation) ident.Incarnation {
	return (i>>refutationBits + 1) << refutationBits
}
