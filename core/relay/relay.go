// Package relay decides which instances watch the store, and which of those the others poll for changes.
// Calls to the store have a price, and fewer watchers make their rate grow more slowly than the fleet.
package relay

import (
	"cmp"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
)

const (
	// watchersPerDomain is the number of watchers in each failure domain. With two, the loss of one causes
	// no traffic between domains.
	watchersPerDomain = 2
)

// Watchers returns the instances that watch the store: those with the fastest links in each failure domain,
// since they pass the changes on.
func Watchers(members []ring.Member) []ring.Member {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b ring.Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.LinkCapacity, a.LinkCapacity), cmp.Compare(a.ID, b.ID))
	})
	count := make(map[ident.DomainName]int)
	return slices.DeleteFunc(order, func(m ring.Member) bool {
		count[m.Domain]++
		return count[m.Domain] > watchersPerDomain
	})
}
