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
	// Watch asks for a call that ends when the object differs from the tag's version or when the wait is
	// over. It replaces an earlier call for the key. An empty tag asks for the value at once.
	Watch struct {
		Key  Key
		Call Call
		Tag  Tag
		Wait time.Duration
	}
	// Unwatch ends the call for the key.
	Unwatch struct{ Key Key }
	// Fetch calls a peer.
	Fetch struct {
		To      ident.InstanceID
		Call    Call
		Request Request
	}
	// Store asks to join the status into the platform's.
	Store struct {
		Call   Call
		Status *table.RolloutStatus
	}
	// Adopt says that the object is in force from now on.
	Adopt struct{ Object Object }
	// Drop says that this instance does not keep the object any longer.
	Drop struct{ Key Key }
	// Catalog names all known services in order.
	Catalog struct{ Services []ident.ServiceName }
)
