package dist

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// CallID numbers the calls that a Core asks for, so that it recognises late results.
type CallID uint64

// Tag is the platform's tag of one version of an object.
type Tag string

// Failure says why a call of the platform brought nothing.
type Failure int

// Failures.
const (
	// FailureUnreachable says that the platform did not respond or reported an error of its own.
	FailureUnreachable Failure = iota
	// FailureRateLimited says that the platform refused the call because of a rate limit.
	FailureRateLimited
	// FailureInvalid says that the platform responded with a value that is not valid.
	FailureInvalid
	// FailureNotFound says that the object does not exist.
	FailureNotFound
)

// Event is something that a Core learns.
type Event interface {
	apply(c *Core)
}

// Events.
type (
	// Tick says that time has passed.
	Tick struct{}
	// MembersChanged names the live instances, this one included.
	MembersChanged struct{ Nodes []place.Node }
	// ObjectRead says that a watch ended with a version of the object that differs from the tag's.
	ObjectRead struct {
		Call   CallID
		Tag    Tag
		Object Object
	}
	// CatalogRead says that a watch of the catalogue ended with a list that differs from the tag's.
	CatalogRead struct {
		Call     CallID
		Tag      Tag
		Services []ident.ServiceName
	}
	// WatchUnchanged says that a watch ended without a change.
	WatchUnchanged struct {
		Key  Key
		Call CallID
	}
	// WatchFailed says that a watch failed.
	WatchFailed struct {
		Key     Key
		Call    CallID
		Failure Failure
		// RetryAfter is the time that the platform asked to wait, or 0.
		RetryAfter time.Duration
	}
	// GossipReceived is the gossip of a peer's heartbeat.
	GossipReceived struct {
		From      ident.InstanceID
		Revisions []ObjectRevision
		Digest    Digest
	}
	// ReplyReceived is a peer's response.
	ReplyReceived struct {
		From  ident.InstanceID
		Call  CallID
		Reply Reply
	}
	// PeerCallFailed says that a call of a peer failed.
	PeerCallFailed struct{ Call CallID }
	// StatusChanged is a change of a rollout status that this instance decided.
	StatusChanged struct{ Status *table.Status }
	// StatusStored says that the platform holds the status, which may be newer than the one that was written.
	StatusStored struct {
		Call   CallID
		Status *table.Status
	}
	// StatusStoreFailed says that a status could not be written, or that the outcome is unknown.
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

// Request is what one instance asks and tells another.
type Request struct {
	// Wanted names objects with the revision that the sender holds; it asks for newer ones.
	Wanted []ObjectRevision
	// Announced names revisions that the sender learned.
	Announced []ObjectRevision
	// Buckets asks for the revisions in the parts of the digest that differ. It is empty or has Buckets
	// parts.
	Buckets []Digest
}

// Reply is the response to a Request.
type Reply struct {
	Objects   []Object
	Revisions []ObjectRevision
}
