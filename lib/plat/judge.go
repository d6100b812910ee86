package plat

import (
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// JudgeTable recognises an edit of a routing table by its identifier, also after later edits.
func JudgeTable(stored, written *wire.Table) Verdict {
	switch {
	case stored == nil || stored.Revision < written.Revision:
		return Undecided
	case stored.Edit == written.Edit || slices.Contains(stored.Recent, written.Edit):
		return Applied
	case stored.Revision-written.Revision <= ident.Revision(len(stored.Recent)):
		return Refused
	default:
		return Unclear
	}
}

// JudgeStatus recognises a rollout status by its content: a stored status that is equal or newer under
// the join holds all that was to be written.
func JudgeStatus(stored, written *wire.Status) Verdict {
	if stored == nil {
		return Undecided
	}
	a, errA := stored.Core("")
	b, errB := written.Core("")
	if errA != nil || errB != nil || b.Newer(a) {
		return Undecided
	}
	return Applied
}
