package limit

import (
	"slices"

	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// ServingInstances returns the instances that serve a service: the placed ones, in their order, without
// those in a failure domain that is out of service. These are not replaced, because other instances
// would have neither the table nor slots until ShareIncreaseDelay has passed. When all placed instances
// are in such domains, all of them keep serving.
func ServingInstances(t *table.Table, placed []place.Instance) []place.Instance {
	active := slices.DeleteFunc(slices.Clone(placed), func(n place.Instance) bool {
		r, ok := t.Find(table.KindDomain, string(n.Domain))
		return ok && r.State == table.StateOut
	})
	if len(active) == 0 {
		return placed
	}
	return active
}
