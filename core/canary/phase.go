package canary

import "goldcreststand.example/core/ident"

// Phase is the state of a coordinated rollout.
type Phase int

// Phases in their order; a later one replaces an earlier one.
const (
	// PhaseTrial limits the new version to a share that is acceptable for a bad one.
	PhaseTrial Phase = iota
	// PhaseQuarter and PhaseHalf detect a version that fails under load before it gets all calls.
	PhaseQuarter
	PhaseHalf
	// PhaseWhole gives the new version all new calls, while the old servers finish their calls in flight.
	PhaseWhole
	// PhaseDone allows the old version's servers to stop.
	PhaseDone
	// PhaseReverted gives the new version no calls.
	PhaseReverted
)

//go:generate ../../bin/enumer -type=Phase -trimprefix=Phase -transform=lower -text -output=phase_enumer.go

// TrialShare is the share of a service's calls that the new version gets during the trial.
const TrialShare ident.Share = 50

// Share returns the share of the calls that the new version gets in the phase.
func (p Phase) Share() ident.Share {
	switch p {
	case PhaseTrial:
		return TrialShare
	case PhaseQuarter:
		return 250
	case PhaseHalf:
		return 500
	case PhaseWhole, PhaseDone:
		return ident.FullShare
	case PhaseReverted:
		return 0
	}
	return 0
}

// Ended reports whether the rollout can no longer change.
func (p Phase) Ended() bool { return p >= PhaseDone }
