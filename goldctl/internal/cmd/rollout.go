package cmd

import (
	"context"

	"goldcreststand.example/core/table"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// collectionRolloutStatuses is the platform's collection of rollout statuses.
const collectionRolloutStatuses = "moves"

func (t *target) statusPath() string { return plat.ObjectPath(collectionRolloutStatuses, t.service) }

// rolloutStatus returns the status of the newest rollout of the table. A rollout without a stored status is
// running in its first stage.
func (t *target) rolloutStatus(ctx context.Context, tb *table.Table) (wire.Status, error) {
	st, _, err := t.readStatus(ctx)
	if err != nil {
		return st, err
	}
	if st.Attempt != attemptOf(tb) {
		return wire.Status{Attempt: attemptOf(tb), Outcome: wire.StatusOutcomeRunning}, nil
	}
	return st, nil
}

// readStatus returns the stored status and its tag. If there is none, both are empty.
func (t *target) readStatus(ctx context.Context) (wire.Status, plat.Tag, error) {
	var st wire.Status
	tag, err := t.client().Get(ctx, t.statusPath(), &st)
	if plat.ErrNotFound.Has(err) {
		return wire.Status{}, "", nil
	}
	return st, tag, err
}
