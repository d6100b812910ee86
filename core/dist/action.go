package dist

import (
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Action is something that an adapter does for a Core.
type Action any

// Actions.
type (
	// StartWatch asks for a call that ends when the object differs from the tag's version or when the wait is
	// over. It replaces an earlier call for the key. An empty tag asks for the value at once.
	StartWatch struct {
		Key  Key
		Call CallID
		Tag  Tag
		Wait time.Duration
	}
	// StopWatch ends the call for the key.
	StopWatch struct{ Key Key }
	// CallPeer calls a peer.
	CallPeer struct {
		To      ident.InstanceID
		Call    CallID
		Request Request
	}
	// StoreStatus asks to join the status into the platform's.
	StoreStatus struct {
		Call   CallID
		Status *table.Status
	}
	// ApplyObject says that the object is in force from now on.
	ApplyObject struct{ Object Object }
	// DropObject says that this instance does not keep the object any longer.
	DropObject struct{ Key Key }
	// ServicesChanged names all known services in order.
	ServicesChanged struct{ Services []ident.ServiceName }
)
