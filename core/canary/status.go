package canary

import (
	"cmp"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Stage is the index of a stage of a rollout.
type Stage int

// Last is the stage in which the new version takes all traffic.
const Last Stage = 4

// Share returns the share of traffic that the new version gets in the stage.
func (s Stage) Share() ident.Share {
	return [...]ident.Share{10, 50, 250, 500, ident.FullShare}[min(max(s, 0), Last)]
}

// Compare orders two statuses by attempt, then outcome, then stage; the reason does not count.
func Compare(a, b table.RolloutStatus) int { return cmp.Compare(a.Revision(), b.Revision()) }

// Join returns the larger status. Of two equal ones it returns that with the smaller reason, so that the
// order of joins does not matter.
func Join(a, b table.RolloutStatus) table.RolloutStatus {
	if c := Compare(a, b); c > 0 || c == 0 && a.Reason <= b.Reason {
		return a
	}
	return b
}
