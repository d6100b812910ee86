package table

// Kind is the kind of object that a row applies to.
type Kind int

// Kinds of rows.
const (
	// KindService is the row of the service as a whole; its limit bounds all calls in flight.
	KindService Kind = iota
	// KindServer is the row of one backend server.
	KindServer
	// KindDomain is the row of one failure domain.
	KindDomain
	// KindVersion is the row of one version.
	KindVersion
)

// State says whether the servers that a row applies to accept new work.
type State int

// States of rows.
const (
	// StateActive allows new work.
	StateActive State = iota
	// StateOut keeps new work away.
	StateOut
)

//go:generate ../../bin/enumer -type=Kind -trimprefix=Kind -transform=lower -text -output=kind_enumer.go
//go:generate ../../bin/enumer -type=State -trimprefix=State -transform=lower -text -output=state_enumer.go
