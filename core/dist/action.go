package dist

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Action is an output of a Core, to be executed by the code that calls Handle.
type Action any

// Actions.
type (
	// StartWatch starts a call to the platform that ends when the object differs from the tag's version or after
	// the wait. It replaces an earlier call for the key. With an empty tag the call returns the object at once.
	StartWatch struct {
		Key  Key
		Call CallID
		Tag  Tag
		Wait time.Duration
	}
	// StopWatch ends the call for the key.
	StopWatch struct{ Key Key }
	// CallPeer sends a request to a peer.
	CallPeer struct {
		To      ident.InstanceID
		Call    CallID
		Request Request
	}
	// StoreStatus merges the status into the one that the platform stores.
	StoreStatus struct {
		Call   CallID
		Status *table.RolloutStatus
	}
	// ApplyObject reports that the object is in force from now on.
	ApplyObject struct{ Object Object }
	// DropObject reports that this instance no longer keeps the object.
	DropObject struct{ Key Key }
	// ServicesChanged reports the sorted names of all known services.
	ServicesChanged struct{ Services []ident.ServiceName }
)
