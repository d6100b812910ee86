// Package entry answers which instances a caller may connect to, and whether this instance is ready.
package entry

import (
	"math/rand/v2"
	"net/netip"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/spread"
)

const (
	// maxAddresses bounds the addresses of a reply; callers use up to 64.
	maxAddresses = 64
	// minNear is the number of instances in the caller's failure domain from which on only those are named.
	minNear = 2
)

// Views gives the newest view.
type Views interface {
	Load() *spread.Snapshot
}

// Addresses returns the instances for a caller in the failure domain: those there, as long as there are
// several, because bytes between domains are dear.
func Addresses(v *spread.Snapshot, d ident.DomainName) []netip.AddrPort {
	var near, all []ring.Member
	for _, m := range v.Members {
		all = append(all, m)
		if m.Domain == d {
			near = append(near, m)
		}
	}
	list := all
	if len(near) >= minNear {
		list = near
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	out := make([]netip.AddrPort, 0, min(len(list), maxAddresses))
	for _, m := range list[:min(len(list), maxAddresses)] {
		out = append(out, m.Traffic)
	}
	return out
}
