package canary

import (
	"cmp"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Stage is the index of a stage of a rollout.
type Stage int

// LastStage is the stage in which the new version gets all calls.
const LastStage Stage = 4

// Share returns the share of the calls that the new version gets in the stage.
func (s Stage) Share() ident.Share {
	return [...]ident.Share{10, 50, 250, 500, ident.FullShare}[min(max(s, 0), LastStage)]
}

// CompareStatus orders statuses by attempt, then outcome, then stage, and ignores the reason.
func CompareStatus(a, b table.RolloutStatus) int { return cmp.Compare(a.Revision(), b.Revision()) }

// MergeStatus returns the larger of two statuses by CompareStatus. Of equal ones it returns the one with the
// smaller reason, because the result must not depend on the order of merges.
func MergeStatus(a, b table.RolloutStatus) table.RolloutStatus {
	if c := CompareStatus(a, b); c > 0 || c == 0 && a.Reason <= b.Reason {
		return a
	}
	return b
}
