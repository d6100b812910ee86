package canary

import "goldcreststand.example/core/table"

// Report is what a rollout tells the other serving instances.
type Report struct {
	Status   table.RolloutStatus
	Counts   []Count
	Suspects []Suspect
	// Asks says that the sender does not know whether its status is up to date.
	Asks bool
}
