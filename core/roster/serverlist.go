// Package roster defines the platform's list of the backend servers of a service.
package roster

import (
	"net/netip"

	"goldcreststand.example/core/ident"
)

// Server is one backend server in a ServerList.
type Server struct {
	ID      ident.ServerID
	Address netip.AddrPort
	Domain  ident.DomainName
	Version ident.VersionName
	// Slots is the number of calls that the server can execute at a time.
	Slots ident.Slots
	// MaxConns is the maximum number of connections to the server.
	MaxConns    int
	Incarnation ident.Incarnation
	// Draining reports that the server accepts no more calls.
	Draining bool
}

// ServiceServer is one backend server with the service that it belongs to.
type ServiceServer struct {
	Service ident.ServiceName
	Server  Server
}

// ServerList is the list of the servers of one service. It is immutable once published.
type ServerList struct {
	Service  ident.ServiceName
	Revision ident.Revision
	Servers  []Server
}

// Newer reports whether l has a higher revision than other and replaces it. A nil list is older than any.
func (l *ServerList) Newer(other *ServerList) bool {
	if l == nil {
		return false
	}
	return other == nil || l.Revision > other.Revision
}
