package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/store"
)

// endedHarness returns the state of an instance that knows the end of a rollout, in a fleet with the given others.
func endedHarness(end canary.Phase, others ...ident.InstanceID) *harness {
	h := newHarness()
	h.storeEra, h.rev = 1, 50
	h.join(append(others, "i1")...)
	h.list(true, entry("s1", "v1"))
	h.pools()
	h.order(1, "v2", true, canary.PhaseWhole)
	h.list(false, entry("s2", "v2"))
	h.order(1, "v2", true, end)
	return h
}

// Guards against the end of a rollout that is lost for good when the store returns to an older copy: processes that start later would
// decide anew, and complete a version that was rolled back, or roll back the only one that is left.
func TestLostEndOfRolloutIsWrittenAgain(t *testing.T) {
	for _, end := range []canary.Phase{canary.PhaseDone, canary.PhaseReverted} {
		t.Run(end.String(), func(t *testing.T) {
			h := endedHarness(end)
			_, before := h.pools()
			require.Empty(t, actionsOf[WriteProgress](h.wait(5*time.Second)), "the store holds the end")
			h.returnTo(30)
			h.join("i1")
			h.order(1, "v2", true, canary.PhaseHalf)
			_, trial := h.pools()
			require.Equal(t, before, trial, "the end stays in force")
			writes := actionsOf[WriteProgress](h.wait(time.Second))
			require.Len(t, writes, 1)
			require.Equal(t, end, writes[0].Order.Phase)
			h.apply(ProgressWritten{Service: testService, Err: store.ErrConflict.New("written meanwhile")})
			require.Len(t, actionsOf[WriteProgress](h.wait(restoreInterval+time.Second)), 1, "after a failed write")
			h.apply(ProgressWritten{Service: testService})
			h.order(1, "v2", true, end)
			require.Empty(t, actionsOf[WriteProgress](h.wait(5*time.Second)), "the store holds the end again")
		})
	}
}

// Guards against an end that stays lost because the deciding instance has just started and does not know it, and against writes by a whole
// fleet at once.
func TestLostEndIsWrittenByFewInstances(t *testing.T) {
	all := []ident.InstanceID{"i1", "i2", "i3", "i4", "i5", "i6"}
	instances := make([]place.Instance, len(all))
	for i, id := range all {
		instances[i] = place.Instance{ID: id, Domain: member(id).Domain}
	}
	order := place.ServingInstances(testService, instances, len(all))
	for rank, self := range order {
		h := newHarnessOf(self.ID)
		h.storeEra, h.rev = 1, 50
		h.join(all...)
		h.list(true, entry("s1", "v1"), entry("s2", "v2"))
		h.order(1, "v2", true, canary.PhaseReverted)
		h.returnTo(30)
		h.join(all...)
		h.order(1, "v2", true, canary.PhaseHalf)
		delay := time.Duration(rank) * restoreDelay
		require.Empty(t, actionsOf[WriteProgress](h.wait(delay)), "rank %d", rank)
		writes := len(actionsOf[WriteProgress](h.wait(2 * time.Second)))
		require.Equal(t, rank < maxRestorers, writes == 1, "rank %d: %d writes", rank, writes)
	}
}

// Guards against a phase that is written on condition of a revision from before the store's return, which may name another state of the
// order.
func TestPhaseIsWrittenOnConditionOfPresentEra(t *testing.T) {
	h := newHarness()
	h.storeEra, h.rev = 1, 50
	h.listAll()
	h.order(1, "v2", false, canary.PhaseTrial)
	h.returnTo(30)
	h.evacuate(true)
	require.Empty(t, actionsOf[WriteProgress](h.wait(time.Second)), "orders are not read yet")
	h.order(1, "v2", false, canary.PhaseTrial)
	require.Len(t, actionsOf[WriteProgress](h.wait(time.Second)), 1)
}
