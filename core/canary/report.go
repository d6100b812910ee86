package canary

import "goldcreststand.example/core/table"

// Report is the message about a rollout that an instance sends to the other serving instances.
type Report struct {
	Status   table.RolloutStatus
	Counts   []CallCounts
	BadCalls []ServerBadCalls
	// StatusRequest asks the receivers for their status, because the sender's may be out of date.
	StatusRequest bool
}
