package dist

import "time"

// Config holds the counts and times of a Core.
type Config struct {
	// ServingInstances is the number of instances that serve a service and keep its objects.
	ServingInstances int
	// Watchers is the number of instances that watch an object at the platform.
	Watchers int
	// TakeoverDepth is the number of instances, in placement order, that can take over a watch. It keeps the calls
	// during an outage from growing with the fleet.
	TakeoverDepth int
	// WatchWait is the time for which a watch waits at the platform.
	WatchWait time.Duration
	// ShortWatchWait is the wait of one watch of each instance. It shows within ShortWatchWait and Grace that the
	// platform no longer responds, when nothing refuses the connection.
	ShortWatchWait time.Duration
	// WatchGrace is the time after its wait in which a watch must have ended.
	WatchGrace time.Duration
	// BackoffBase and Cap bound the delay between two tries of a failed call. Cap leaves time within 8 s, the
	// target for an edit, to read after an outage and to tell the others.
	BackoffBase time.Duration
	BackoffCap  time.Duration
	// NotFoundDelay is the time between two reads of a rollout status that does not exist.
	NotFoundDelay time.Duration
	// SpreadPerWatch, within MinSpread and MaxSpread in total, is the time that an instance leaves for each watch
	// that it starts with others, so that a fleet that starts or recovers does not call at the same moment.
	SpreadPerWatch time.Duration
	MinSpread      time.Duration
	MaxSpread      time.Duration
	// ReachabilityExpiry is the time for which an instance's report that it does not reach the platform holds.
	ReachabilityExpiry time.Duration
	// PeerTimeout bounds a call of a peer. It is above the least time after which TCP sends again, 200 ms,
	// and short enough that an instance whose calls are lost in a row has a dozen tries in half of the 8 s.
	PeerTimeout time.Duration
	// ComparisonDelay is the time for which digests must differ before two instances compare what they know.
	ComparisonDelay time.Duration
	// Retention is the time for which an instance keeps the objects of a service that it no longer serves,
	// so that its successors can fetch them while the platform is down.
	Retention time.Duration
	// StoreDelay is the time that each watcher leaves to the one before it to store a rollout status.
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
	// MaxGossipRevisions is the largest number of revisions in one heartbeat.
	MaxGossipRevisions = 16
	// MaxWanted is the largest number of objects that one call of a peer asks for.
	MaxWanted = 16
	// maxReplyRows bounds the rows and servers in one response that has more than one object. A row or server
	// takes up to 350 bytes, a message up to 2 MiB.
	maxReplyRows = 4000
	// maxReplyRevisions bounds the revisions in one response.
	maxReplyRevisions = 4000
	// DigestBuckets is the number of parts into which the digest is divided when two instances compare.
	DigestBuckets = 16
	// comparisonSends is the number of heartbeats that carry a revision that a comparison brought.
	comparisonSends = 2
	// fastTries is the number of tries to fetch an object that follow each other without a growing delay.
	fastTries = 12
	// maxNoticeTries is the number of tries to tell a peer of one change; gossip follows up.
	maxNoticeTries = 6
)
