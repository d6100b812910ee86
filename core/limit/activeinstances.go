package limit

import (
	"slices"

	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// ActiveInstances returns the serving instances, in their order, without those in a failure domain that
// is out of service. These are not replaced, because other instances would have neither the table nor
// slots until ShareIncreaseDelay has passed. When all serving instances are in such domains, all of them
// keep serving.
func ActiveInstances(t *table.Table, serving []place.Instance) []place.Instance {
	active := slices.DeleteFunc(slices.Clone(serving), func(n place.Instance) bool {
		r, ok := t.Find(table.KindDomain, string(n.Domain))
		return ok && r.State == table.StateOut
	})
	if len(active) == 0 {
		return serving
	}
	return active
}
