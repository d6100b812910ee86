package dist

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// Call numbers the calls that a Core asks for, so that it recognises late results.
type Call uint64

// Tag is the platform's tag of one version of an object.
type Tag string

// Failure says why a call of the platform brought nothing.
type Failure int

// Failures.
const (
	// FailureUnreachable says that the platform did not respond or reported an error of its own.
	FailureUnreachable Failure = iota
	// FailureLimited says that the platform refused the call because of a rate limit.
	FailureLimited
	// FailureInvalid says that the platform responded with a value that is not valid.
	FailureInvalid
	// FailureAbsent says that the object does not exist.
	FailureAbsent
)

// Event is something that a Core learns.
type Event interface {
	apply(c *Core)
}

// Events.
type (
	// Tick says that time has passed.
	Tick struct{}
	// Members names the live instances, this one included.
	Members struct{ Nodes []place.Instance }
	// Read says that a watch ended with a version of the object that differs from the tag's.
	Read struct {
		Call   Call
		Tag    Tag
		Object Object
	}
	// Listed says that a watch of the catalogue ended with a list that differs from the tag's.
	Listed struct {
		Call     Call
		Tag      Tag
		Services []ident.ServiceName
	}
	// Unchanged says that a watch ended without a change.
	Unchanged struct {
		Key  Key
		Call Call
	}
	// Failed says that a watch failed.
	Failed struct {
		Key     Key
		Call    Call
		Failure Failure
		// After is the time that the platform asked to wait, or 0.
		After time.Duration
	}
	// Heard is the gossip of a peer's heartbeat.
	Heard struct {
		From   ident.InstanceID
		Held   []Held
		Digest Digest
	}
	// Fetched is a peer's response.
	Fetched struct {
		From  ident.InstanceID
		Call  Call
		Reply Reply
	}
	// FetchFailed says that a call of a peer failed.
	FetchFailed struct{ Call Call }
	// Advance is a change of a rollout status that this instance decided.
	Advance struct{ Status *table.Status }
	// Stored says that the platform holds the status, which may be newer than the one that was written.
	Stored struct {
		Call   Call
		Status *table.Status
	}
	// StoreFailed says that a status could not be written, or that the outcome is unknown.
	StoreFailed struct {
		Key  Key
		Call Call
	}
)

var (
	_ Event = Tick{}
	_ Event = Members{}
	_ Event = Read{}
	_ Event = Listed{}
	_ Event = Unchanged{}
	_ Event = Failed{}
	_ Event = Heard{}
	_ Event = Fetched{}
	_ Event = FetchFailed{}
	_ Event = Advance{}
	_ Event = Stored{}
	_ Event = StoreFailed{}
)

// Request is what one instance asks and tells another.
type Request struct {
	// Want names objects with the revision that the sender holds; it asks for newer ones.
	Want []Held
	// News names revisions that the sender learned.
	News []Held
	// Buckets asks for the revisions in the parts of the digest that differ. It is empty or has Buckets
	// parts.
	Buckets []Digest
}

// Reply is the response to a Request.
type Reply struct {
	Objects []Object
	Held    []Held
}
