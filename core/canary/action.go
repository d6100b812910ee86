package canary

import "goldcreststand.example/core/table"

// Action is something that a rollout wants done.
type Action interface{ action() }

// WriteStatus asks for the status to be joined into the platform's object.
type WriteStatus struct{ Status table.Status }

// ReadStatus asks for the platform's object to be read.
type ReadStatus struct{}

// SendReport asks for the status and the counts to be sent to the other serving instances.
type SendReport struct {
	Status   table.Status
	Counts   []Count
	Suspects []Suspect
	// Asks says that the sender does not know whether its status is up to date.
	Asks bool
}

func (WriteStatus) action() {}
func (ReadStatus) action()  {}
func (SendReport) action()  {}
