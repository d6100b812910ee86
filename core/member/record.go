// Package member decides which instances are alive: by gossip and failure detection after SWIM (Das,
// Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
// protocol", 2002).
package member

import (
	"net/netip"

	"goldcreststand.example/core/ident"
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

// Newer reports whether r replaces other under the join: by incarnation, then by state.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.State > other.State
}
