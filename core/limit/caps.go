// Package limit decides how many calls are let through: it divides the slots of backend servers
// between instances, and orders the calls that wait for a slot.
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

// Cap is the number of slots of one backend server that all instances together may use.
type Cap struct {
	Server  ident.ServerID
	Domain  ident.DomainName
	Version ident.VersionName
	Slots   ident.Slots
}

// subject is what a row of the routing table bounds.
type subject struct {
	kind table.Kind
	name string
}

// Caps returns the caps of the servers that take work, in an order that depends only on their ids.
// The caps keep to the slots of each server and to all row limits at once, so any division of them
// between instances does too. The slots in a failure domain are scaled by its weight relative to the
// heaviest domain, because instances mostly use servers of their own domain and would otherwise send
// as many calls to a light domain as to any other. Slots are given out in rounds of one per server, so that a limit that
// covers several servers spreads over them.
func Caps(t *table.Table, servers []roster.Server) []Cap {
	usable := usableServers(t, servers)
	left := make(map[subject]ident.Slots)
	for _, r := range t.Rows {
		if r.Limit != table.NoLimit {
			left[rowSubject(r)] = r.Limit
		}
	}
	heaviest := heaviestDomain(t, usable)
	caps := make([]Cap, len(usable))
	for i, s := range usable {
		caps[i] = Cap{Server: s.ID, Domain: s.Domain, Version: s.Version}
	}
	for given := true; given; {
		given = false
		for i, s := range usable {
			if caps[i].Slots < scaled(t, s, heaviest) && take(left, s) {
				caps[i].Slots++
				given = true
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

func heaviestDomain(t *table.Table, servers []roster.Server) ident.Weight {
	var out ident.Weight
	for _, s := range servers {
		out = max(out, route.DomainWeight(t, s.Domain))
	}
	return out
}

// scaled returns the server's slots scaled by the weight of its failure domain, rounded up.
func scaled(t *table.Table, s roster.Server, heaviest ident.Weight) ident.Slots {
	w := int64(route.DomainWeight(t, s.Domain))
	return ident.Slots((int64(s.Slots)*w + int64(heaviest) - 1) / int64(heaviest))
}

// rowSubject returns what the row bounds. The service row has the name of the service, which is left
// out because a table holds one service.
func rowSubject(r table.Row) subject {
	if r.Kind == table.KindService {
		return subject{kind: table.KindService}
	}
	return subject{kind: r.Kind, name: r.Name}
}

// take uses up one slot of every limit that covers the server, or none when one of them is used up.
func take(left map[subject]ident.Slots, s roster.Server) bool {
	keys := [...]subject{
		{kind: table.KindService},
		{table.KindDomain, string(s.Domain)},
		{table.KindVersion, string(s.Version)},
		{table.KindServer, string(s.ID)},
	}
	for _, k := range keys {
		if n, ok := left[k]; ok && n <= 0 {
			return false
		}
	}
	for _, k := range keys {
		if n, ok := left[k]; ok {
			left[k] = n - 1
		}
	}
	return true
}
