package canary

// Outcome says how far a version rollout has got. The larger one wins when two statuses are joined.
type Outcome int

// Outcomes of a version rollout.
const (
	// OutcomeRunning is a rollout that moves traffic.
	OutcomeRunning Outcome = iota
	// OutcomeDone is a rollout whose new version takes all traffic.
	OutcomeDone
	// OutcomeReverted is a rollout whose new version takes no traffic.
	OutcomeReverted
)

//go:generate ../../bin/enumer -type=Outcome -trimprefix=Outcome -transform=lower -text -output=outcome_enumer.go
