package health

// State says what one instance thinks of one backend server.
type State int

// States of a backend server. A server that has left the platform's list has no state.
const (
	// StateWarming lets one instance send a few calls, until its own outcomes show that the server can
	// bear more.
	StateWarming State = iota
	// StateActive lets the instance use its whole slot share.
	StateActive
	// StateEjected keeps new work from a server that fails or is slow, for a time.
	StateEjected
	// StateDraining keeps new work from a server that announced that it leaves.
	StateDraining
)

//go:generate ../../bin/enumer -type=State -trimprefix=State -transform=lower -text -output=state_enumer.go
