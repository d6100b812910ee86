package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// Page is the number of records in the response to a ping that asks for members.
const Page = 16

// MaxRecords is the largest number of records in a message.
const MaxRecords = 32

// Config holds the times and sizes of a Core.
type Config struct {
	// Interval is the time between two probes.
	Interval time.Duration
	// Suspect is the time without a response after which a probed instance is suspected. Half of it goes
	// to the direct probe, half to probes through others.
	Suspect time.Duration
	// Dead is the time without a response after which an instance is declared dead. It is longer than
	// Suspect by the time that the instance has for a refutation.
	Dead time.Duration
	// Indirect is the number of others that probe in this instance's stead.
	Indirect int
	// Seeds are the addresses to join through, and to contact when no live member has them.
	Seeds []netip.AddrPort
	// Contact is the time between two contacts of members believed dead or of seeds without a member.
	Contact time.Duration
	// Sync and MaxSync are the times between two requests for a page of members. Sync holds while pages
	// bring news; each page without news doubles it up to MaxSync. An instance that has just started asks
	// once per Interval while pages bring news.
	Sync    time.Duration
	MaxSync time.Duration
	// Retain is the time for which dead members and those that left are remembered. It is longer than a
	// network partition between regions, which lasts minutes.
	Retain time.Duration
	// Retransmit is the factor of ceil(log10(members + 1)) in the number of messages that carry a record.
	Retransmit int
	// Rate and Burst bound the gossip that is sent, in bytes per second and bytes. Half of the burst is kept
	// for short records, which tell failures, so that a fleet that starts does not use it up.
	Rate  ident.Bytes
	Burst ident.Bytes
}

// DefaultConfig returns settings for up to a few hundred instances within 3 KB/s per instance, inbound
// and outbound. The bound holds over a minute: gossip takes up to 0.6 KB/s and bursts of 32 KB of that, inbound and
// outbound, because the loss of a failure domain has to be told within seconds.
func DefaultConfig() Config {
	return Config{
		Interval: 500 * time.Millisecond, Suspect: time.Second, Dead: 3 * time.Second,
		Indirect: 3, Contact: 2 * time.Second, Sync: 5 * time.Second, MaxSync: time.Minute,
		Retain: time.Hour, Retransmit: 4, Rate: 300, Burst: 16000,
	}
}
