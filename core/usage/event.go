package usage

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// Event is an input of a Reporter.
type Event interface {
	event()
}

type (
	// Tick reports that time has passed.
	Tick struct {
		At Time
		// Rank is the position of this instance among the candidates for the duty, or negative if it is none.
		Rank int
		// Alone reports that no other instance is known.
		Alone bool
		// Era is the latest known era of the store.
		Era ident.Era
	}

	// EntryRead holds the entry in the store, with the era of the reply and the entry's revision.
	EntryRead struct {
		At       Time
		Entry    Entry
		Position store.Position
		// Absent reports that there is no entry.
		Absent bool
	}

	// ReadFailed reports that the entry could not be read.
	ReadFailed struct{ At Time }

	// EntryWritten reports that the last write was executed, with the era of the reply. The revision is 0 if the store did not return
	// it.
	EntryWritten struct {
		At       Time
		Position store.Position
	}

	// WriteRejected reports that the entry has another revision than the last write expected.
	WriteRejected struct{ At Time }

	// WriteUnanswered reports that the last write may be executed now, later or never.
	WriteUnanswered struct{ At Time }

	// ReportAnswered holds the outcome of a report.
	ReportAnswered struct {
		At      Time
		Window  Window
		Outcome Outcome
	}

	// StandingHeard holds what another instance knows of the duty.
	StandingHeard struct {
		At       Time
		From     ident.InstanceID
		Standing Standing
	}

	// Leave reports that this instance is shutting down.
	Leave struct{ At Time }
)

func (Tick) event()            {}
func (EntryRead) event()       {}
func (ReadFailed) event()      {}
func (EntryWritten) event()    {}
func (WriteRejected) event()   {}
func (WriteUnanswered) event() {}
func (ReportAnswered) event()  {}
func (StandingHeard) event()   {}
func (Leave) event()           {}

// Outcome is the outcome of a report.
type Outcome int

// Outcomes of a report.
const (
	// OutcomeFailed means that the report may or may not have been accepted.
	OutcomeFailed Outcome = iota
	// OutcomeAccepted means that the report was accepted.
	OutcomeAccepted
	// OutcomeRefused means that the report was refused for its content.
	OutcomeRefused
	// OutcomeExpired means that the lease ended before the report was sent.
	OutcomeExpired
)

//go:generate ../../bin/enumer -type=Outcome -trimprefix=Outcome -transform=lower -text -output=outcome_enumer.go
