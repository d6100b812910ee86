package health

// State is the state of a backend server as seen by one instance.
type State int

// States of a backend server. A server that has left the platform's list has no state.
const (
	// StateWarming lets the owner, and then the other instances, send a few calls until their own
	// outcomes show that the server can take more.
	StateWarming State = iota
	// StateActive lets the instance use its whole slot share.
	StateActive
	// StateEjected keeps new work from a server that fails or is slow, for a limited time.
	StateEjected
	// StateDraining keeps new work from a server that announced its shutdown.
	StateDraining
)

//go:generate ../../bin/enumer -type=State -trimprefix=State -transform=lower -text -output=state_enumer.go
