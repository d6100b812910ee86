package usage

// State is the relation of an instance to the duty.
type State int

// States.
const (
	// StateFollower means that another instance has the duty, or that none is known.
	StateFollower State = iota
	// StateClaimant means that this instance has written a claim whose outcome is not known.
	StateClaimant
	// StateHolder means that this instance has a lease.
	StateHolder
	// StateLapsed means that the lease of this instance ended, and that no other holder is known.
	StateLapsed
	// StateLeft means that this instance is shutting down and sends no reports.
	StateLeft
)

//go:generate ../../bin/enumer -type=State -trimprefix=State -transform=lower -text -output=state_enumer.go
