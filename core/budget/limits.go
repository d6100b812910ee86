package budget

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Machine is what the machine of an instance has.
type Machine struct {
	Memory ident.Bytes
	// Files is the number of descriptors that the process may open.
	Files int
}

// Settings say which part of a machine callers may use.
type Settings struct {
	// Memory is the share of the memory that callers' connections may hold, and PeerMemory the share for connections of
	// other instances. The rest is the reserve for the instance's own work and for the garbage collector.
	Memory, PeerMemory ident.Share
	// OwnMemory is the memory that is left on any machine for the program and the instance's own work.
	OwnMemory ident.Bytes
	// ReservedFiles is the number of descriptors that are left for files.
	ReservedFiles int
	// OwnFiles is the share of the other descriptors that is left for connections to servers, the store and other instances.
	OwnFiles ident.Share
	// ControlConns and PeerConns are the largest numbers of connections to each of the addresses for readiness checks,
	// lookups and metrics, and to the address for other instances. A machine with few descriptors allows fewer.
	ControlConns, PeerConns int
	// Stall is the time without progress after which a connection in the middle of a request or an answer may be closed under
	// pressure, IdleStall that of one between requests, NewStall that of one on which nothing has arrived yet, or between requests for
	// readiness, lookups and metrics.
	Stall, IdleStall, NewStall time.Duration
}

// DefaultSettings returns settings that callers within the limits of the users' configurations do not reach: on a machine of
// 136 MB, nine tenths of the memory hold a body of 64 MB.
func DefaultSettings() Settings {
	return Settings{
		Memory: 540, PeerMemory: 60, OwnMemory: 40 << 20, ReservedFiles: 200, OwnFiles: 250, ControlConns: 256, PeerConns: 512,
		Stall: time.Second, IdleStall: 5 * time.Second, NewStall: 200 * time.Millisecond,
	}
}

// minMemoryPart is the part of the memory that callers may hold on a machine with little more than OwnMemory.
const minMemoryPart = 8

// minConns is the number of connections that each class may have on any machine.
const minConns = 4

// Shares of the descriptors for connections that the classes other than calls may have on a machine with few of them.
const (
	maxControlFiles ident.Share = 50
	maxPeerFiles    ident.Share = 125
)

// Limits are the amounts that connections may take.
type Limits struct {
	// Memory is the memory that the connections of all classes but peers may hold, PeerMemory that of peers.
	Memory, PeerMemory ident.Bytes
	// Conns is the largest number of connections of each class.
	Conns map[Class]int
	// Stall, IdleStall and NewStall are those of the settings.
	Stall, IdleStall, NewStall time.Duration
}

// Limits derives the limits for a machine.
func (s Settings) Limits(m Machine) Limits {
	usable := max(0, m.Files-s.ReservedFiles)
	control := max(minConns, min(s.ControlConns, part(maxControlFiles, usable)))
	peers := max(minConns, min(s.PeerConns, part(maxPeerFiles, usable)))
	calls := usable - part(s.OwnFiles, usable) - 3*control - peers
	return Limits{
		Memory: min(share(s.Memory, m.Memory), max(m.Memory/minMemoryPart, m.Memory-s.OwnMemory)), PeerMemory: share(s.PeerMemory, m.Memory),
		Conns: map[Class]int{
			ClassCalls: max(minConns, calls), ClassReadiness: control, ClassLookups: control, ClassMetrics: control, ClassPeers: peers,
		},
		Stall: s.Stall, IdleStall: s.IdleStall, NewStall: s.NewStall,
	}
}

// part returns a share of a number of descriptors.
func part(s ident.Share, n int) int { return n * int(s) / int(ident.FullShare) }

// share returns a share of an amount of memory.
func share(s ident.Share, n ident.Bytes) ident.Bytes {
	return n * ident.Bytes(s) / ident.Bytes(ident.FullShare)
}
