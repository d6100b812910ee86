package canary

import (
	"cmp"

	"goldcreststand.example/core/ident"
)

// Stage is the index of a stage of a rollout.
type Stage int

// Last is the stage in which the new version takes all traffic.
const Last Stage = 4

// Share returns the share of traffic that the new version gets in the stage.
func (s Stage) Share() ident.Share {
	return [...]ident.Share{10, 50, 250, 500, ident.FullShare}[min(max(s, 0), Last)]
}

// Status is the state of the rollout of a service. Statuses are ordered by attempt, then outcome, then
// stage, and only ever grow.
type Status struct {
	Attempt ident.Attempt
	Outcome Outcome
	Stage   Stage
	// Reason says why the rollout ended.
	Reason string
}

// Compare orders two statuses; the reason does not count.
func (s Status) Compare(o Status) int {
	return cmp.Or(cmp.Compare(s.Attempt, o.Attempt), cmp.Compare(s.Outcome, o.Outcome), cmp.Compare(s.Stage, o.Stage))
}

// Join returns the larger status. Of two equal ones it returns that with the smaller reason, so that
// the order of joins does not matter.
func (s Status) Join(o Status) Status {
	switch c := s.Compare(o); {
	case c > 0, c == 0 && s.Reason <= o.Reason:
		return s
	default:
		return o
	}
}
