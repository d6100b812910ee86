package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/store"
)

// returnTo sets the store back to a copy as of the revision.
func (h *harness) returnTo(rev ident.Revision) {
	h.storeEra++
	h.rev = rev
}

// configure posts a configuration, with the list of all or as a change.
func (h *harness) configure(complete bool, version ident.Revision) {
	h.rev++
	h.apply(ConfigUpdate{store.Batch[*rules.Config]{
		Complete: complete, AsOf: h.at(), Objects: []store.Object[*rules.Config]{{Name: "main", Revision: h.rev, Value: config(version)}},
	}})
}

// evacuate posts the failure domains that are out of service, with the list of all or as a change.
func (h *harness) evacuate(complete bool, domains ...ident.DomainName) []Action {
	h.rev++
	b := store.Batch[ident.DomainName]{Complete: complete, AsOf: h.at()}
	for _, d := range domains {
		b.Objects = append(b.Objects, store.Object[ident.DomainName]{Name: string(d), Revision: h.rev, Value: d})
	}
	return h.apply(EvacuationsUpdate{b})
}

// Guards against changes that are dropped as outdated for good, because the store has returned to an older copy of its content and
// gives revisions out again.
func TestChangesAfterReturnOfStore(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *harness, complete bool)
		// check requires that the change is in force.
		check func(t *testing.T, h *harness)
	}{
		{
			name:   "configuration",
			change: func(h *harness, complete bool) { h.configure(complete, 9) },
			check:  func(t *testing.T, h *harness) { require.Equal(t, ident.Revision(9), h.snapshot().Config.Version) },
		},
		{
			name: "server drains",
			change: func(h *harness, complete bool) {
				e := entry("s2", "v1")
				e.Server.Draining = true
				h.list(complete, entry("s1", "v1"), e)
			},
			check: func(t *testing.T, h *harness) {
				stable, _ := h.pools()
				require.Equal(t, []ident.ServerID{"s1"}, stable)
			},
		},
		{
			name:   "evacuation",
			change: func(h *harness, complete bool) { h.evacuate(complete, "d1") },
			check: func(t *testing.T, h *harness) {
				stable, _ := h.pools()
				require.Empty(t, stable)
			},
		},
		{
			name:   "rollout order",
			change: func(h *harness, _ bool) { h.order(7, "v2", true, canary.PhaseReverted) },
			check: func(t *testing.T, h *harness) {
				require.Equal(t, canary.PhaseReverted, h.service(testService).rollout.Phase())
			},
		},
		{
			name:   "member",
			change: func(h *harness, _ bool) { h.join("i1", "i2") },
			check:  func(t *testing.T, h *harness) { require.Len(t, h.members, 2) },
		},
	}
	for _, tt := range tests {
		for name, complete := range map[string]bool{"in the list": true, "after the list": false} {
			t.Run(tt.name+" "+name, func(t *testing.T) {
				h := newHarness()
				h.storeEra = 1
				h.rev = 50
				h.listAll()
				h.returnTo(30)
				if !complete {
					h.listAll()
				}
				tt.change(h, complete)
				tt.check(t, h)
			})
		}
	}
}

// listAll posts a list of each kind.
func (h *harness) listAll() {
	h.configure(true, 1)
	h.list(true, entry("s1", "v1"), entry("s2", "v1"))
	h.evacuate(true)
	h.rev++
	h.apply(OrdersUpdate{store.Batch[*canary.RolloutOrder]{Complete: true, AsOf: h.at()}})
	h.join("i1")
}

// Guards against a late reply from before the store's return that undoes what was written since, or that makes the copy count as up to
// date.
func TestLateReplyOfEarlierEra(t *testing.T) {
	h := watchingHarness()
	h.storeEra, h.rev = 1, 50
	h.listAll()
	h.returnTo(30)
	h.listAll()
	h.evacuate(false, "d1")
	h.storeEra, h.rev = 1, 60
	h.wait(2 * time.Second)
	h.evacuate(true)
	stable, _ := h.pools()
	require.Empty(t, stable)
	require.GreaterOrEqual(t, h.freshness().Age, 2*time.Second)
	require.Equal(t, ident.Era(2), h.freshness().Era)
}

// Guards against kinds that are not listed again, because their watches wait in a store that has returned to an older copy.
func TestReturnOfStoreRestartsWatches(t *testing.T) {
	tests := []struct {
		name  string
		learn func(h *harness) []Action
	}{
		{name: "by a list of another kind", learn: func(h *harness) []Action { return h.evacuate(true) }},
		{name: "by a check", learn: func(h *harness) []Action { return h.apply(StoreChecked{At: h.now, Era: h.storeEra}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := watchingHarness()
			h.storeEra, h.rev = 1, 50
			h.listAll()
			require.Zero(t, h.freshness().Age)
			h.wait(time.Second)
			h.returnTo(30)
			require.Len(t, actionsOf[RestartWatches](append(tt.learn(h), h.wait(tickInterval)...)), 1)
			require.GreaterOrEqual(t, h.freshness().Age, time.Second, "before the other kinds are listed")
			h.listAll()
			require.Zero(t, h.freshness().Age)
			require.Empty(t, actionsOf[RestartWatches](h.wait(tickInterval)))
		})
	}
}

// Guards against an older configuration in force, because the copy to which the store returned has it.
func TestReturnOfStoreKeepsConfig(t *testing.T) {
	h := newHarness()
	h.storeEra, h.rev = 1, 50
	h.configure(true, 5)
	h.returnTo(30)
	h.configure(true, 4)
	require.Equal(t, ident.Revision(5), h.snapshot().Config.Version)
	h.configure(false, 5)
	h.configure(false, 6)
	require.Equal(t, ident.Revision(6), h.snapshot().Config.Version)
}
