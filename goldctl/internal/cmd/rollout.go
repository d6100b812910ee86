package cmd

import (
	"context"

	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// collectionMoves is the platform's collection of rollout statuses.
const collectionMoves = "moves"

func (t *target) statusPath() string { return plat.ObjectPath(collectionMoves, t.service) }

// progress returns the status of the table's newest rollout. A rollout that nobody has reported on runs
// at its first stage.
func (t *target) progress(ctx context.Context, tb *table.Table) (wire.Status, error) {
	st, _, err := t.readStatus(ctx)
	if err != nil {
		return st, err
	}
	if st.Attempt != attemptOf(tb) {
		return wire.Status{Attempt: attemptOf(tb), Outcome: wire.StatusOutcomeRunning}, nil
	}
	return st, nil
}

// readStatus returns the stored status and its tag; an absent one has an empty tag.
func (t *target) readStatus(ctx context.Context) (wire.Status, plat.Tag, error) {
	var st wire.Status
	tag, err := t.client().Get(ctx, t.statusPath(), &st)
	if plat.ErrNotFound.Has(err) {
		return wire.Status{}, "", nil
	}
	return st, tag, err
}
