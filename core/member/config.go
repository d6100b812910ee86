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

// Config holds the times and sizes of a Core.
type Config struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// SuspectTimeout is the time without a response after which a probed instance is suspected. Half of it goes
	// to the direct probe, half to probes through others.
	SuspectTimeout time.Duration
	// DeadTimeout is the time without a response after which an instance is declared dead. It is longer than
	// Suspect by the time that the instance has for a refutation.
	DeadTimeout time.Duration
	// IndirectProbes is the number of others that probe in this instance's stead.
	IndirectProbes int
	// Seeds are the addresses to join through, and to contact when no live member has them.
	Seeds []netip.AddrPort
	// ReconnectInterval is the time between two contacts of members believed dead or of seeds without a member.
	ReconnectInterval time.Duration
	// SyncInterval and MaxSync are the times between two requests for a page of members. SyncInterval holds while pages
	// bring news; each page without news doubles it up to MaxSync. An instance that has just started asks
	// once per Interval while pages bring news.
	SyncInterval    time.Duration
	MaxSyncInterval time.Duration
	// Retention is the time for which dead members and those that left are remembered. It is longer than a
	// network partition between regions, which lasts minutes.
	Retention time.Duration
	// RetransmitFactor is the factor of ceil(log10(members + 1)) in the number of messages that carry a record.
	RetransmitFactor int
	// GossipRate and Burst bound the gossip that is sent, in bytes per second and bytes. Half of the burst is kept
	// for short records, which tell failures, so that a fleet that starts does not use it up.
	GossipRate  ident.Bytes
	GossipBurst ident.Bytes
}

// DefaultConfig returns settings that keep membership within 3 KB/s per instance, inbound and outbound,
// over a minute: gossip takes up to 0.6 KB/s and bursts of 32 KB of that, because the loss of a failure
// domain has to be told within seconds. Measured with TCP headers (BenchmarkIdle, BenchmarkDomainLoss and
// BenchmarkMerge in package peer) the bound holds for 240 instances, but for the minute after a network
// partition between halves: 3.0 KB/s at 120 instances and 3.6 KB/s at 240.
func DefaultConfig() Config {
	return Config{
		ProbeInterval: 500 * time.Millisecond, SuspectTimeout: time.Second, DeadTimeout: 3 * time.Second,
		IndirectProbes: 3, ReconnectInterval: 2 * time.Second, SyncInterval: 5 * time.Second, MaxSyncInterval: time.Minute,
		Retention: time.Hour, RetransmitFactor: 4, GossipRate: 300, GossipBurst: 16000,
	}
}
