package table

import "goldcreststand.example/core/ident"

// MaxStage is the largest stage of a version rollout.
const MaxStage = 100

// Outcome is the outcome of a version rollout. A larger outcome replaces a smaller one.
type Outcome int

// Outcomes of a version rollout.
const (
	// OutcomeRunning is the outcome until the rollout ends.
	OutcomeRunning Outcome = iota
	// OutcomeDone says that the new version serves all calls.
	OutcomeDone
	// OutcomeReverted says that the old version serves all calls again.
	OutcomeReverted
)

//go:generate ../../bin/enumer -type=Outcome -trimprefix=Outcome -transform=lower -text -output=outcome_enumer.go

// Status is the state of the version rollout of one service. It is immutable once published.
type Status struct {
	Service ident.ServiceName
	Attempt ident.Attempt
	Outcome Outcome
	// Stage is the index of the stage, 0 to MaxStage.
	Stage int
	// Reason says why the rollout ended, or is empty.
	Reason string
}

// Revision returns a number that orders statuses: by attempt, then outcome, then stage.
func (s *Status) Revision() ident.Revision {
	return ident.Revision(uint64(s.Attempt)<<16 | uint64(s.Outcome)<<8 | uint64(s.Stage))
}

// Newer reports whether s replaces other under the join. A nil status is older than any.
func (s *Status) Newer(other *Status) bool {
	if s == nil {
		return false
	}
	return other == nil || s.Revision() > other.Revision()
}
