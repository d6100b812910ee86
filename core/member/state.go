package member

// State is the state of an instance. Within one incarnation a state replaces those declared before it.
type State int

// States of an instance.
const (
	// StateAlive means that the instance responds.
	StateAlive State = iota
	// StateSuspect means that the instance did not respond to a probe. It is still a live member.
	StateSuspect
	// StateDead means that the instance did not refute the suspicion in time.
	StateDead
	// StateLeft means that the instance announced that it leaves.
	StateLeft
)

//go:generate ../../bin/enumer -type=State -trimprefix=State -transform=lower -text -output=state_enumer.go
