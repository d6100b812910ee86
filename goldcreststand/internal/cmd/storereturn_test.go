package cmd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against changes that real instances drop as outdated, or do not pass on to those that do not watch the store, once it has
// returned to an older copy and gives revisions out again.
func TestChangesReachAllInstancesAfterReturnOfStore(t *testing.T) {
	const bound = 5 * time.Second
	store, _ := newTestStore(t)
	store.era = 1
	_, sites := startFleet(t, store)
	awaitConfig := func(version int) {
		t.Helper()
		for name := range sites {
			require.Eventually(t, func() bool { return int(sites[name].inst.loop.Load().Config.Version) == version }, bound, 10*time.Millisecond, "%s", name)
		}
	}
	awaitServers := func(n int) {
		t.Helper()
		for name := range sites {
			inUse := func() bool { return sites[name].inst.loop.Load().Services["one"].Stable.Size() == n }
			require.Eventually(t, inUse, bound, 10*time.Millisecond, "%s", name)
		}
	}
	rev, objects := store.content()
	for v := 2; v < 8; v++ {
		putOrganisations(store, v, `[]`)
	}
	store.put("evacuations", "other", `{}`)
	awaitConfig(7)
	awaitServers(1)
	for v := 8; v < 10; v++ {
		store.returnTo(rev, objects)
		putOrganisations(store, v, `[]`)
		awaitConfig(v)
		for name := range sites {
			require.EqualValues(t, store.era, sites[name].inst.loop.Freshness().Era, "%s", name)
		}
	}
	store.put("evacuations", "z", `{}`)
	awaitServers(0)
}
