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
	// AwaitingSlots says that this instance has slots due at some server, and none in force yet.
	AwaitingSlots bool
	// InstanceAddresses are the traffic addresses of the instances that serve the service, in placement order.
	InstanceAddresses []netip.AddrPort
	// Servers are the backend servers that may take new work. Empty when Local is false.
	Servers []*Server
	// Versions divides Servers by version.
	Versions []VersionPool
}

// Slots returns the number of calls that this instance may have in flight at all servers.
func (s *Service) Slots() ident.Slots {
	var n ident.Slots
	for _, srv := range s.Servers {
		n += srv.MaxInflight
	}
	return n
}

// Server is one backend server as one instance may use it.
type Server struct {
	ID      ident.ServerID
	Address netip.AddrPort
	Domain  ident.DomainName
	Version ident.VersionName
	// Weight is the server's weight relative to the other servers of its version.
	Weight ident.Weight
	// MaxInflight is the largest number of calls in flight that this instance may have at the server.
	MaxInflight ident.Slots
	// MaxConnections is the largest number of connections that this instance may have to the server.
	MaxConnections int
	Load           *ServerLoad
}

// ServerWeight returns the weight of a server under the table relative to the other servers of its version: the
// product of the weights of its server and failure domain rows relative to DefaultWeight. It also
// reports whether the server may take work: no row, that of its version included, is out or has weight 0.
func ServerWeight(t *table.Table, id ident.ServerID, d ident.DomainName, v ident.VersionName) (ident.Weight, bool) {
	ws, okServer := rowWeight(t, table.KindServer, string(id))
	wd, okDomain := rowWeight(t, table.KindDomain, string(d))
	_, okVersion := rowWeight(t, table.KindVersion, string(v))
	w := uint64(ws) * uint64(wd) / uint64(DefaultWeight)
	return ident.Weight(min(w, uint64(ident.MaxWeight))), okServer && okDomain && okVersion && w > 0
}

// VersionWeight returns the weight of a version, 0 when it may take no work.
func VersionWeight(t *table.Table, v ident.VersionName) ident.Weight {
	w, ok := rowWeight(t, table.KindVersion, string(v))
	if !ok {
		return 0
	}
	return w
}

// DomainWeight returns the weight of a failure domain, 0 when it may take no work.
func DomainWeight(t *table.Table, d ident.DomainName) ident.Weight {
	w, ok := rowWeight(t, table.KindDomain, string(d))
	if !ok {
		return 0
	}
	return w
}

// rowWeight returns the weight of one subject and whether it may take work.
func rowWeight(t *table.Table, kind table.Kind, name string) (ident.Weight, bool) {
	r, ok := t.Find(kind, name)
	if !ok {
		return DefaultWeight, true
	}
	return r.Weight, r.State == table.StateActive && r.Weight > 0
}
