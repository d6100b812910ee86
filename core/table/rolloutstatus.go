package table

import "goldcreststand.example/core/ident"

// MaxStage is the largest stage of a version rollout.
const MaxStage = 100

// Outcome is the outcome of a version rollout. When statuses are merged, a larger outcome replaces a
// smaller one.
type Outcome int

// Outcomes of a version rollout.
const (
	// OutcomeRunning means that the rollout has not ended.
	OutcomeRunning Outcome = iota
	// OutcomeDone means that the new version serves all calls.
	OutcomeDone
	// OutcomeReverted means that the old version serves all calls again.
	OutcomeReverted
)

//go:generate ../../bin/enumer -type=Outcome -trimprefix=Outcome -transform=lower -text -output=outcome_enumer.go

// RolloutStatus is the status of the version rollout of one service. It is immutable once published.
type RolloutStatus struct {
	Service ident.ServiceName
	Attempt ident.Attempt
	Outcome Outcome
	// Stage is the index of the stage, 0 to MaxStage.
	Stage int
	// Reason is the reason for which the rollout ended, or empty.
	Reason string
}

// Revision returns a number that orders statuses by attempt, then outcome, then stage.
func (s *RolloutStatus) Revision() ident.Revision {
	return ident.Revision(uint64(s.Attempt)<<16 | uint64(s.Outcome)<<8 | uint64(s.Stage))
}

// Newer reports whether s replaces other when the two are merged. A nil status is older than any.
func (s *RolloutStatus) Newer(other *RolloutStatus) bool {
	if s == nil {
		return false
	}
	return other == nil || s.Revision() > other.Revision()
}
