package budget

import "goldcreststand.example/core/ident"

// Level is the pressure on the memory of callers' connections.
type Level int

// Levels.
const (
	// LevelNone means that there is no pressure.
	LevelNone Level = iota
	// LevelAccept means that no further connections are accepted.
	LevelAccept
	// LevelRead means that no requests are read ahead.
	LevelRead
	// LevelRefuse means that bodies find no more memory, and that connections without progress are closed.
	LevelRefuse
)

//go:generate ../../bin/enumer -type=Level -trimprefix=Level -transform=lower -output=level_enumer.go

// Parts of the memory, in per cent, from which the levels begin. What is above refusePercent is for heads, so that a call
// without a body is still read beside bodies that fill the rest.
const (
	acceptPercent = 70
	readPercent   = 80
	refusePercent = 90
)

// collectPercent is the part of the memory that callers do not hold, in per cent, from which garbage is collected at once. Heads are
// refused when garbage and what is held fill the memory. That part counts as no less than what is left beside the largest bodies, so
// that collections do not follow each other.
const collectPercent = 50

// smallHead is the cost up to which heads are not refused because of garbage, which is as much as that of a connection: a crowd with
// large heads at one address must not keep the instance from answering readiness checks.
const smallHead = connCost

// longBody is the size from which the bytes of a body do not keep the instance from accepting connections: a single legal
// body may take most of the memory of a small machine, and nobody else could call meanwhile.
const longBody ident.Bytes = 64 << 10
