package limit

import (
	"slices"

	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// Serving returns the instances that serve a service: the placed ones, in their order, without those in a
// failure domain that is out of service. No others take their place, because they would hold neither the
// table nor slots until TakeDelay has passed. When all of them are in such domains they go on serving.
func Serving(t *table.Table, placed []place.Instance) []place.Instance {
	in := slices.DeleteFunc(slices.Clone(placed), func(n place.Instance) bool {
		r, ok := t.Find(table.KindDomain, string(n.Domain))
		return ok && r.State == table.StateOut
	})
	if len(in) == 0 {
		return placed
	}
	return in
}
