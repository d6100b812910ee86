package dist

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// CallID identifies a call that a Core has requested. It distinguishes late results of replaced calls.
type CallID uint64

// Tag is the tag with which the platform identifies a version of an object.
type Tag string

// Failure is the reason for which a call to the platform failed.
type Failure int

// Reasons for which a call fails.
const (
	// FailureUnreachable means that the platform did not respond or reported a server error.
	FailureUnreachable Failure = iota
	// FailureRateLimited means that the platform refused the call because of a rate limit.
	FailureRateLimited
	// FailureInvalid means that the platform responded with an invalid value.
	FailureInvalid
	// FailureNotFound means that the object does not exist.
	FailureNotFound
)

// Event is an input of a Core.
type Event interface {
	apply(c *Core)
}

// Events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// MembersChanged reports the live instances, including this one.
	MembersChanged struct{ Members []place.Instance }
	// ObjectRead reports that a watch returned a version of the object that differs from the tag's.
	ObjectRead struct {
		Call   CallID
		Tag    Tag
		Object Object
	}
	// CatalogRead reports that the watch of the catalog returned a list that differs from the tag's version.
	CatalogRead struct {
		Call     CallID
		Tag      Tag
		Services []ident.ServiceName
	}
	// WatchUnchanged reports that a watch ended without a change.
	WatchUnchanged struct {
		Key  Key
		Call CallID
	}
	// WatchFailed reports that a watch failed.
	WatchFailed struct {
		Key     Key
		Call    CallID
		Failure Failure
		// RetryAfter is the time for which the platform asked this instance to wait, or 0.
		RetryAfter time.Duration
	}
	// GossipReceived reports the gossip in a peer's heartbeat.
	GossipReceived struct {
		From      ident.InstanceID
		Revisions []ObjectRevision
		Digest    Digest
	}
	// ReplyReceived reports the response to a call to a peer.
	ReplyReceived struct {
		From  ident.InstanceID
		Call  CallID
		Reply Reply
	}
	// PeerCallFailed reports that a call to a peer failed.
	PeerCallFailed struct{ Call CallID }
	// StatusChanged reports a change of a rollout status that was decided by this instance.
	StatusChanged struct{ Status *table.RolloutStatus }
	// StatusStored reports the status that the platform stores after a write. It may be newer than the written one.
	StatusStored struct {
		Call   CallID
		Status *table.RolloutStatus
	}
	// StatusStoreFailed reports that a status could not be written or that the outcome is unknown.
	StatusStoreFailed struct {
		Key  Key
		Call CallID
	}
)

var (
	_ Event = Tick{}
	_ Event = MembersChanged{}
	_ Event = ObjectRead{}
	_ Event = CatalogRead{}
	_ Event = WatchUnchanged{}
	_ Event = WatchFailed{}
	_ Event = GossipReceived{}
	_ Event = ReplyReceived{}
	_ Event = PeerCallFailed{}
	_ Event = StatusChanged{}
	_ Event = StatusStored{}
	_ Event = StatusStoreFailed{}
)

// Request is a request from one instance to another.
type Request struct {
	// Wanted requests objects with a newer revision than the given one, which the sender has.
	Wanted []ObjectRevision
	// Announced holds revisions that the sender has learned.
	Announced []ObjectRevision
	// Buckets requests the revisions in the parts of the digest that differ. It is empty or has DigestBuckets
	// elements.
	Buckets []Digest
}

// Reply is the response to a Request.
type Reply struct {
	Objects   []Object
	Revisions []ObjectRevision
}
