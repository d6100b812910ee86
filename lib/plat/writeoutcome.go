package plat

import (
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/schema/wire"
)

// TableWriteOutcome finds out whether a routing table was written. It recognises the edit by its identifier,
// also after later edits.
func TableWriteOutcome(stored, written *wire.Table) WriteOutcome {
	switch {
	case stored == nil || stored.Revision < written.Revision:
		return WritePending
	case stored.Edit == written.Edit || slices.Contains(stored.Recent, written.Edit):
		return WriteApplied
	case stored.Revision-written.Revision <= ident.Revision(len(stored.Recent)):
		return WriteRejected
	default:
		return WriteIndeterminate
	}
}

// StatusWriteOutcome finds out whether a rollout status was written. The write counts as applied if the stored
// status is equal or newer, because merging the written status would not change it.
func StatusWriteOutcome(stored, written *wire.Status) WriteOutcome {
	if stored == nil {
		return WritePending
	}
	a, errA := stored.Core("")
	b, errB := written.Core("")
	if errA != nil || errB != nil || b.Newer(a) {
		return WritePending
	}
	return WriteApplied
}
