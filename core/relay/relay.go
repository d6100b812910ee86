// Package relay decides which instances watch the store, and which of those the others ask for changes. Every call to
// the store has a price, and its rates grow more slowly than the fleet.
package relay

import (
	"cmp"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
)

const (
	// smallFleet is the number of instances up to which all watch the store. There, what fewer watchers save in calls
	// is spent on requests between instances and traffic between domains.
	smallFleet = 32
	// watchersPerDomain is the number of watchers in each failure domain. With two, the loss of one causes no traffic
	// between domains.
	watchersPerDomain = 2
)

// Watchers returns the instances that watch the store: in a small fleet all, else in each failure domain those with the
// fastest links, since they pass the changes on.
func Watchers(members []ring.Member) []ring.Member {
	if len(members) <= smallFleet {
		return members
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b ring.Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Link, a.Link), cmp.Compare(a.ID, b.ID))
	})
	count := make(map[ident.DomainName]int)
	return slices.DeleteFunc(order, func(m ring.Member) bool {
		count[m.Domain]++
		return count[m.Domain] > watchersPerDomain
	})
}
