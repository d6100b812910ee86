package admit

import "time"

// Verdict says what a call does that found no acceptable server.
type Verdict int

// Verdicts.
const (
	// VerdictWait lets the call wait and then try again.
	VerdictWait Verdict = iota
	// VerdictSettle ends the wait: the call takes any server that is not saturated, or is refused.
	VerdictSettle
	// VerdictHopeless refuses the call, because no server can complete it before its deadline.
	VerdictHopeless
)

//go:generate ../../bin/enumer -type=Verdict -trimprefix=Verdict -transform=lower -text -output=verdict_enumer.go

// Step is what a call does next. Wait is the time until its next attempt, for VerdictWait.
type Step struct {
	Verdict Verdict
	Wait    time.Duration
}
