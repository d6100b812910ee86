// Package limit implements admission control: it divides the slots of backend servers between instances
// and orders the calls that wait for a slot.
package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Cap is the number of slots that all instances together may use at one backend server.
type Cap struct {
	Server  ident.ServerID
	Domain  ident.DomainName
	Version ident.VersionName
	Slots   ident.Slots
}

// limitScope identifies what the limit of a routing table row applies to.
type limitScope struct {
	kind table.Kind
	name string
}

// Caps returns the caps of the servers that accept work, in an order that depends only on their ids.
// The caps respect the slots of each server and all row limits, and so does any division of them
// between instances. The slots in a failure domain are scaled by its weight relative to the highest
// domain weight: instances mostly use servers of their own domain and would otherwise send as many
// calls to a domain with a low weight as to any other. Slots are assigned in rounds of one per server,
// which spreads a limit that covers several servers over all of them.
func Caps(t *table.Table, servers []roster.Server) []Cap {
	usable := usableServers(t, servers)
	remaining := make(map[limitScope]ident.Slots)
	for _, r := range t.Rows {
		if r.Limit != table.NoLimit {
			remaining[rowScope(r)] = r.Limit
		}
	}
	maxWeight := maxDomainWeight(t, usable)
	caps := make([]Cap, len(usable))
	for i, s := range usable {
		caps[i] = Cap{Server: s.ID, Domain: s.Domain, Version: s.Version}
	}
	for assigned := true; assigned; {
		assigned = false
		for i, s := range usable {
			if caps[i].Slots < scaledSlots(t, s, maxWeight) && consumeSlot(remaining, s) {
				caps[i].Slots++
				assigned = true
			}
		}
	}
	return caps
}

func usableServers(t *table.Table, servers []roster.Server) []roster.Server {
	out := make([]roster.Server, 0, len(servers))
	for _, s := range servers {
		if _, ok := route.ServerWeight(t, s.ID, s.Domain, s.Version); ok && !s.Draining {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b roster.Server) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func maxDomainWeight(t *table.Table, servers []roster.Server) ident.Weight {
	var out ident.Weight
	for _, s := range servers {
		out = max(out, route.DomainWeight(t, s.Domain))
	}
	return out
}

// scaledSlots returns the server's slots scaled by the weight of its failure domain, rounded up.
func scaledSlots(t *table.Table, s roster.Server, maxWeight ident.Weight) ident.Slots {
	w := int64(route.DomainWeight(t, s.Domain))
	return ident.Slots((int64(s.Slots)*w + int64(maxWeight) - 1) / int64(maxWeight))
}

// rowScope returns the scope of the row's limit. The scope of the service row has no name because a
// table holds one service.
func rowScope(r table.Row) limitScope {
	if r.Kind == table.KindService {
		return limitScope{kind: table.KindService}
	}
	return limitScope{kind: r.Kind, name: r.Name}
}

// consumeSlot takes one slot from every limit that covers the server. It takes none and returns false
// when one of these limits is exhausted.
func consumeSlot(remaining map[limitScope]ident.Slots, s roster.Server) bool {
	keys := [...]limitScope{
		{kind: table.KindService},
		{table.KindDomain, string(s.Domain)},
		{table.KindVersion, string(s.Version)},
		{table.KindServer, string(s.ID)},
	}
	for _, k := range keys {
		if n, ok := remaining[k]; ok && n <= 0 {
			return false
		}
	}
	for _, k := range keys {
		if n, ok := remaining[k]; ok {
			remaining[k] = n - 1
		}
	}
	return true
}
