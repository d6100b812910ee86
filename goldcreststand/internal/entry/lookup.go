// Package entry serves lookups of the instances for a caller, and readiness checks of this instance.
package entry

import (
	"math/rand/v2"
	"net/netip"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/spread"
)

const (
	// maxAddresses is the maximum number of addresses in a response. Callers use up to 64.
	maxAddresses = 64
	// minLocal is the number of instances in the caller's failure domain from which only those are returned.
	minLocal = 2
)

// Snapshots provides the latest snapshot.
type Snapshots interface {
	Load() *spread.Snapshot
}

// InstanceAddresses returns the addresses of the instances for a caller in the failure domain, in random order. It
// returns only instances of the domain if there are several, because traffic between domains is expensive.
func InstanceAddresses(snap *spread.Snapshot, d ident.DomainName) []netip.AddrPort {
	var local, all []ring.Member
	for _, m := range snap.Members {
		all = append(all, m)
		if m.Domain == d {
			local = append(local, m)
		}
	}
	list := all
	if len(local) >= minLocal {
		list = local
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	out := make([]netip.AddrPort, 0, min(len(list), maxAddresses))
	for _, m := range list[:min(len(list), maxAddresses)] {
		out = append(out, m.Traffic)
	}
	return out
}
