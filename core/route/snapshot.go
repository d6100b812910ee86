// Package route holds the snapshot that traffic reads and the choice of a backend server for a call.
package route

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Snapshot is all that traffic needs to know. Control publishes a new one after each change; a
// published snapshot is immutable but for the counters that Load holds.
type Snapshot struct {
	// ValidUntil is the boot-time clock's reading after which traffic must not act on the snapshot.
	ValidUntil time.Duration
	Services   map[ident.ServiceName]*Service
}

// Service is the part of a snapshot for one service.
type Service struct {
	Name     ident.ServiceName
	Revision ident.Revision
	// Local says whether this instance is one of those that serve the service.
	Local bool
	// Entries are the traffic addresses of the instances that serve the service, in placement order.
	Entries []netip.AddrPort
	// Servers are the backend servers that may take new work. Empty when Local is false.
	Servers []*Server
}

// Server is one backend server as one instance may use it.
type Server struct {
	ID      ident.ServerID
	Address netip.AddrPort
	Domain  ident.DomainName
	Version ident.VersionName
	Weight  ident.Weight
	// Share is the largest number of calls in flight that this instance may have at the server.
	Share ident.Slots
	// Connections is the largest number of connections that this instance may have to the server.
	Connections int
	Load        *Load
}

// Rows returns the effective weight of a server under the table: the product of the weights of its
// server, failure domain and version rows relative to DefaultWeight, and whether it may take work.
func Rows(t *table.Table, id ident.ServerID, d ident.DomainName, v ident.VersionName) (ident.Weight, bool) {
	w := uint64(DefaultWeight)
	for _, key := range []struct {
		kind table.Kind
		name string
	}{
		{table.KindServer, string(id)},
		{table.KindDomain, string(d)},
		{table.KindVersion, string(v)},
	} {
		r, ok := t.Find(key.kind, key.name)
		if !ok {
			continue
		}
		if r.State == table.StateOut {
			return 0, false
		}
		w = w * uint64(r.Weight) / uint64(DefaultWeight)
	}
	return ident.Weight(min(w, uint64(ident.MaxWeight))), w > 0
}
