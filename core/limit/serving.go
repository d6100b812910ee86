package limit

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// Serving returns the instances that serve the service, in placement order. Instances in a failure
// domain that is out of service do not serve, and the count falls by one for each such domain: others in
// their place would take slots from the instances that go on serving, which have to hold out until
// TakeDelay has passed.
func Serving(t *table.Table, s ident.ServiceName, nodes []place.Node, count int) []place.Node {
	out := make(map[ident.DomainName]bool)
	for _, r := range t.Rows {
		if r.Kind == table.KindDomain && r.State == table.StateOut {
			out[ident.DomainName(r.Name)] = true
		}
	}
	in := make([]place.Node, 0, len(nodes))
	domains := make(map[ident.DomainName]bool)
	for _, n := range nodes {
		if !out[n.Domain] {
			in = append(in, n)
			domains[n.Domain] = true
		}
	}
	if len(in) == 0 {
		return place.Serving(s, nodes, count)
	}
	return place.Serving(s, in, max(count-len(out), min(count, len(domains)), 1))
}
