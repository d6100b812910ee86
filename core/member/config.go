package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// PageSize is the number of records in the response to a ping that asks for members.
const PageSize = 16

// MaxRecords is the largest number of records in a message.
const MaxRecords = 32

// Config holds the intervals, timeouts and limits of a Core.
type Config struct {
	// ProbeInterval is the time between two probes by this instance.
	ProbeInterval time.Duration
	// SuspectTimeout is the time without a response after which a probed member is suspected. The first half is
	// for the direct probe, the second for indirect probes.
	SuspectTimeout time.Duration
	// DeadTimeout is the time without a response after which a member is declared dead. A suspect has the
	// difference to SuspectTimeout to refute the suspicion.
	DeadTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe a member that does not respond.
	IndirectProbes int
	// Seeds are the addresses to join through. A seed address without a live member is tried again.
	Seeds []netip.AddrPort
	// ReconnectInterval is the time between two attempts to reach dead members and seeds without a member.
	ReconnectInterval time.Duration
	// SyncInterval is the time between two requests for a page of members. It doubles with each page that
	// contains nothing new, up to MaxSyncInterval. An instance that has just started uses ProbeInterval
	// instead while pages contain new records.
	SyncInterval    time.Duration
	MaxSyncInterval time.Duration
	// Retention is the time for which dead members and those that left are kept. It is longer than a network
	// partition between regions, which lasts minutes.
	Retention time.Duration
	// RetransmitFactor is multiplied by ceil(log10(members + 1)) to get the number of messages that carry a
	// record.
	RetransmitFactor int
	// GossipRate and GossipBurst limit the gossip that is sent, in bytes per second and in bytes. Half of the
	// burst is reserved for short records, which report failures, because a starting fleet sends many full ones.
	GossipRate  ident.Bytes
	GossipBurst ident.Bytes
}

// DefaultConfig returns settings that keep membership traffic within 3 KB/s per instance, inbound and
// outbound, averaged over a minute. Gossip takes up to 0.6 KB/s of that with bursts of 32 KB, because the
// loss of a failure domain has to be known within seconds. BenchmarkIdle, BenchmarkDomainLoss and
// BenchmarkMerge in package peer, which count TCP headers, show that the bound holds for 240 instances,
// except in the minute after a network partition into halves: 3.0 KB/s at 120 instances, 3.6 KB/s at 240.
func DefaultConfig() Config {
	return Config{
		ProbeInterval: 500 * time.Millisecond, SuspectTimeout: time.Second, DeadTimeout: 3 * time.Second,
		IndirectProbes: 3, ReconnectInterval: 2 * time.Second, SyncInterval: 5 * time.Second, MaxSyncInterval: time.Minute,
		Retention: time.Hour, RetransmitFactor: 4, GossipRate: 300, GossipBurst: 16000,
	}
}
