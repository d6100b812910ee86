package dist

import "time"

// Config holds the counts, intervals and timeouts of a Core.
type Config struct {
	// ServingInstances is the number of instances that serve a service and keep its objects.
	ServingInstances int
	// Watchers is the number of instances that watch each object at the platform.
	Watchers int
	// TakeoverDepth is the number of instances, in placement order, that can take over a watch. The limit keeps
	// the number of calls during an outage independent of the size of the fleet.
	TakeoverDepth int
	// WatchWait is the time after which the platform responds to a watch without a change.
	WatchWait time.Duration
	// ShortWatchWait is the wait of one watch of each instance. If that watch has not ended after ShortWatchWait
	// and WatchGrace, the platform does not respond although it does not refuse connections.
	ShortWatchWait time.Duration
	// WatchGrace is the time after its wait within which a watch must end.
	WatchGrace time.Duration
	// BackoffBase and BackoffCap bound the delay before a failed call is retried. With BackoffCap there is time
	// after an outage to read an object and notify the other instances within 8 s, the target for an edit.
	BackoffBase time.Duration
	BackoffCap  time.Duration
	// NotFoundDelay is the time between two reads of a rollout status that does not exist.
	NotFoundDelay time.Duration
	// SpreadPerWatch is the time per watch over which an instance spreads watches that it starts together. The
	// total is between MinSpread and MaxSpread. This avoids a burst of calls when a fleet starts or recovers.
	SpreadPerWatch time.Duration
	MinSpread      time.Duration
	MaxSpread      time.Duration
	// ReachabilityExpiry is the time for which an instance's report that it does not reach the platform is valid.
	ReachabilityExpiry time.Duration
	// PeerTimeout is the timeout of a call to a peer. It is above the minimum retransmission timeout of TCP,
	// 200 ms, and allows a dozen tries within half of the 8 s when several calls in a row are lost.
	PeerTimeout time.Duration
	// ComparisonDelay is the time for which digests must differ before two instances compare their revisions.
	ComparisonDelay time.Duration
	// Retention is the time for which an instance keeps the objects of a service that it no longer serves. The
	// instances that serve it now can fetch them while the platform is down.
	Retention time.Duration
	// StoreDelay is the time for which each watcher waits for the one before it to store a rollout status.
	StoreDelay time.Duration
}

// DefaultConfig returns the settings for the given number of serving instances.
func DefaultConfig(serving int) Config {
	return Config{
		ServingInstances:   serving,
		Watchers:           2,
		TakeoverDepth:      16,
		WatchWait:          30 * time.Second,
		ShortWatchWait:     2 * time.Second,
		WatchGrace:         time.Second,
		BackoffBase:        250 * time.Millisecond,
		BackoffCap:         2 * time.Second,
		NotFoundDelay:      30 * time.Second,
		SpreadPerWatch:     20 * time.Millisecond,
		MinSpread:          500 * time.Millisecond,
		MaxSpread:          2 * time.Second,
		ReachabilityExpiry: 30 * time.Second,
		PeerTimeout:        300 * time.Millisecond,
		ComparisonDelay:    2 * time.Second,
		Retention:          2 * time.Minute,
		StoreDelay:         2 * time.Second,
	}
}

// Limits of messages.
const (
	// MaxGossipRevisions is the largest number of revisions in a heartbeat.
	MaxGossipRevisions = 16
	// MaxWanted is the largest number of objects that one call to a peer requests.
	MaxWanted = 16
	// maxReplyRows is the largest number of rows and servers in a response with more than one object. A row or
	// server takes up to 350 bytes, a message up to 2 MiB.
	maxReplyRows = 4000
	// maxReplyRevisions is the largest number of revisions in a response.
	maxReplyRevisions = 4000
	// DigestBuckets is the number of parts of the digest that are compared separately.
	DigestBuckets = 16
	// comparisonSends is the number of heartbeats that carry a revision learned in a comparison.
	comparisonSends = 2
	// fastTries is the number of tries to fetch an object before the delay between them grows.
	fastTries = 12
	// maxNoticeTries is the number of tries to notify a peer of a change. After that it learns by gossip.
	maxNoticeTries = 6
)
