// Package route defines the routing snapshot and chooses a backend server for each call.
package route

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/table"
)

// Snapshot is the state from which traffic goroutines route calls. The control loop publishes a new one
// after each change; a published snapshot is immutable except for the counters in ServerLoad.
type Snapshot struct {
	// ValidUntil is the reading of the boot-time clock after which the snapshot must not be used.
	ValidUntil time.Duration
	Services   map[ident.ServiceName]*Service
}

// Service is the part of a snapshot for one service.
type Service struct {
	Name     ident.ServiceName
	Revision ident.Revision
	// Local reports whether this instance serves the service.
	Local bool
	// AwaitingSlots reports that this instance is due to get slots at some server and may not use any yet.
	AwaitingSlots bool
	// InstanceAddresses are the traffic addresses of the instances that serve the service, in placement order.
	InstanceAddresses []netip.AddrPort
	// Servers are the backend servers that may take new calls. It is empty if Local is false.
	Servers []*Server
	// Versions groups Servers by version.
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

// Unavailable reports whether all servers are leaving or have asked for a pause, and after which time the first pause
// ends.
func (s *Service) Unavailable(now time.Duration) (after time.Duration, unavailable bool) {
	return notice.Unavailable(func(yield func(*notice.Availability, time.Duration) bool) {
		for _, srv := range s.Servers {
			if !yield(srv.Availability, now) {
				return
			}
		}
	})
}

// Server is one backend server with the limits that apply to this instance.
type Server struct {
	ID      ident.ServerID
	Address netip.AddrPort
	Domain  ident.DomainName
	Version ident.VersionName
	// Weight is the server's weight relative to the other servers of its version.
	Weight ident.Weight
	// MaxInflight is the maximum number of calls in flight from this instance to the server.
	MaxInflight ident.Slots
	// MaxConns is the maximum number of connections from this instance to the server.
	MaxConns int
	Load     *ServerLoad
	// Availability holds what the server has said about leaving and pauses, or is nil if nothing is recorded.
	Availability *notice.Availability
}

// ServerWeight returns the weight of a server relative to the other servers of its version: the product of the
// weights of its server and failure domain rows, relative to DefaultWeight. It also reports whether the
// server may take calls, which is false if a row of its server, domain or version is out or has weight 0.
func ServerWeight(t *table.Table, id ident.ServerID, d ident.DomainName, v ident.VersionName) (ident.Weight, bool) {
	ws, okServer := rowWeight(t, table.KindServer, string(id))
	wd, okDomain := rowWeight(t, table.KindDomain, string(d))
	_, okVersion := rowWeight(t, table.KindVersion, string(v))
	w := uint64(ws) * uint64(wd) / uint64(DefaultWeight)
	return ident.Weight(min(w, uint64(ident.MaxWeight))), okServer && okDomain && okVersion && w > 0
}

// VersionWeight returns the weight of a version, or 0 if it may not take calls.
func VersionWeight(t *table.Table, v ident.VersionName) ident.Weight {
	w, ok := rowWeight(t, table.KindVersion, string(v))
	if !ok {
		return 0
	}
	return w
}

// DomainWeight returns the weight of a failure domain, or 0 if it may not take calls.
func DomainWeight(t *table.Table, d ident.DomainName) ident.Weight {
	w, ok := rowWeight(t, table.KindDomain, string(d))
	if !ok {
		return 0
	}
	return w
}

// rowWeight returns the weight in the row of that kind and name, and whether the row permits calls.
func rowWeight(t *table.Table, kind table.Kind, name string) (ident.Weight, bool) {
	r, ok := t.Find(kind, name)
	if !ok {
		return DefaultWeight, true
	}
	return r.Weight, r.State == table.StateActive && r.Weight > 0
}
