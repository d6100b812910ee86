package rules

// Kind says whether a call on a route may be executed more than once.
type Kind int

// Kinds of routes.
const (
	// KindUnsafe is a route whose calls are executed at most once. It is the zero value because a
	// default must not repeat calls.
	KindUnsafe Kind = iota
	// KindSafe is a route whose calls may be executed more than once.
	KindSafe
)

//go:generate ../../bin/enumer -type=Kind -trimprefix=Kind -transform=lower -text -output=kind_enumer.go
