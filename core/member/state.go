package member

// State says what is known of an instance. A later state replaces an earlier one of the same
// incarnation.
type State int

// States of an instance.
const (
	// StateAlive means that the instance responds.
	StateAlive State = iota
	// StateSuspect means that the instance did not respond; it still takes part.
	StateSuspect
	// StateDead means that the instance did not respond for the whole time of suspicion.
	StateDead
	// StateLeft means that the instance said that it leaves.
	StateLeft
)

//go:generate ../../bin/enumer -type=State -trimprefix=State -transform=lower -text -output=state_enumer.go
