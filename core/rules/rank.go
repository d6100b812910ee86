package rules

import (
	"cmp"

	"goldcreststand.example/core/access"
)

// Rank is the priority of a call among others: the priority of its organisation goes first, then that of its route. A
// configuration without organisations ranks calls by their route alone.
type Rank struct {
	Organisation access.Priority
	Route        int
}

// Compare returns a negative number if a call of rank r is more urgent than one of the other rank, and 0 for equal ranks.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Organisation, other.Organisation), cmp.Compare(r.Route, other.Route))
}
