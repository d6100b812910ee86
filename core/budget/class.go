package budget

// Class is a kind of entry point. Each class has connections of its own, so that a crowd at one does not close the others.
type Class int

// Classes.
const (
	// ClassCalls are the connections of callers' calls.
	ClassCalls Class = iota
	ClassReadiness
	ClassLookups
	ClassMetrics
	// ClassPeers are the connections that other instances open.
	ClassPeers
)

// single reports whether callers of the class lose nothing when their connection ends between two requests: they send one now
// and then, and a new connection takes them a millisecond. A crowd of idle connections must not keep them waiting.
func (c Class) single() bool { return c == ClassReadiness || c == ClassLookups || c == ClassMetrics }

//go:generate ../../bin/enumer -type=Class -trimprefix=Class -transform=lower -output=class_enumer.go
