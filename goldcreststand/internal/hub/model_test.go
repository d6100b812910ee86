package hub

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/store"
)

// storeModel holds the last content of the store, which snapshots are checked against.
type storeModel struct {
	*harness
	version ident.Revision
	listed  map[ident.ServerID]roster.ServiceServer
	// removedAt holds the time at which a server's entry was removed. Such a server is kept for at most expiryGrace.
	removedAt map[ident.ServerID]time.Time
	out       map[ident.DomainName]bool
	phase     canary.Phase
	// posted holds the updates of servers posted so far.
	posted []ServersUpdate
}

// Guards against calls to servers that were removed, drain, are in an evacuated domain or run a reverted version,
// and against an older configuration, for any order of changes, outages and lists.
func TestSnapshotsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &storeModel{
			harness: newHarness(), version: 1, listed: make(map[ident.ServerID]roster.ServiceServer),
			removedAt: make(map[ident.ServerID]time.Time), out: make(map[ident.DomainName]bool),
		}
		o.order(1, "v2", true, canary.PhaseTrial)
		t.Repeat(map[string]func(*rapid.T){
			"":           o.check,
			"time":       func(t *rapid.T) { o.wait(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * tickInterval) },
			"config":     o.config,
			"server":     o.server,
			"remove":     o.remove,
			"list":       o.relist,
			"outage":     o.outage,
			"evacuation": o.evacuate,
			"phase":      o.advance,
			"late":       o.repost,
		})
	})
}

func (o *storeModel) drawID(t *rapid.T) ident.ServerID {
	return ident.ServerID("s" + strconv.Itoa(rapid.IntRange(0, 7).Draw(t, "server")))
}

func (o *storeModel) config(t *rapid.T) {
	v := ident.Revision(rapid.IntRange(1, 50).Draw(t, "version"))
	o.apply(ConfigUpdate{store.Batch[*rules.Config]{Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(v)}}}})
	o.version = max(o.version, v)
}

func (o *storeModel) server(t *rapid.T) {
	id := o.drawID(t)
	e := entry(id, rapid.SampledFrom([]ident.VersionName{"v1", "v2"}).Draw(t, "version"))
	e.Server.Domain = rapid.SampledFrom([]ident.DomainName{"d1", "d2"}).Draw(t, "domain")
	e.Server.Draining = rapid.Bool().Draw(t, "leaving")
	o.rev++
	o.post(store.Batch[roster.ServiceServer]{
		Objects: []store.Object[roster.ServiceServer]{{Name: string(id), Revision: o.rev, Value: e}}, AsOf: o.rev,
	})
	o.listed[id] = e
	delete(o.removedAt, id)
}

func (o *storeModel) remove(t *rapid.T) {
	id := o.drawID(t)
	o.rev++
	o.post(store.Batch[roster.ServiceServer]{Removed: []string{string(id)}, AsOf: o.rev})
	o.removeEntry(id)
}

// post posts an update of the servers and records it.
func (o *storeModel) post(b store.Batch[roster.ServiceServer]) {
	o.posted = append(o.posted, ServersUpdate{b})
	o.apply(ServersUpdate{b})
}

// repost posts an earlier update again, as another instance may report it later than the store.
func (o *storeModel) repost(t *rapid.T) {
	if len(o.posted) == 0 {
		t.Skip("no update posted yet")
	}
	o.apply(rapid.SampledFrom(o.posted).Draw(t, "past"))
}

func (o *storeModel) removeEntry(id ident.ServerID) {
	if _, ok := o.listed[id]; ok {
		delete(o.listed, id)
		o.removedAt[id] = o.now
	}
}

// relist posts a complete list of the servers, without those whose entries have expired.
func (o *storeModel) relist(t *rapid.T) {
	o.rev++
	batch := store.Batch[roster.ServiceServer]{Complete: true, AsOf: o.rev}
	for i := range 8 {
		id := ident.ServerID("s" + strconv.Itoa(i))
		e, ok := o.listed[id]
		if ok && rapid.Bool().Draw(t, "lapsed") {
			o.removeEntry(id)
		} else if ok {
			batch.Objects = append(batch.Objects, store.Object[roster.ServiceServer]{Name: string(id), Revision: o.rev, Value: e})
		}
	}
	o.post(batch)
}

func (o *storeModel) outage(t *rapid.T) {
	o.apply(StoreUnavailable{Kind: KindServers, Err: store.ErrUnavailable.New("down")})
	o.wait(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * tickInterval)
	o.apply(StoreAvailable{Kind: KindServers})
	o.relist(t)
}

func (o *storeModel) evacuate(t *rapid.T) {
	d := rapid.SampledFrom([]ident.DomainName{"d1", "d2"}).Draw(t, "domain")
	o.out[d] = !o.out[d]
	o.rev++
	b := store.Batch[ident.DomainName]{AsOf: o.rev}
	if o.out[d] {
		b.Objects = []store.Object[ident.DomainName]{{Name: string(d), Revision: o.rev}}
	} else {
		b.Removed = []string{string(d)}
	}
	o.apply(EvacuationsUpdate{b})
}

func (o *storeModel) advance(t *rapid.T) {
	p := rapid.SampledFrom(canary.PhaseValues()).Draw(t, "phase")
	o.order(1, "v2", true, p)
	o.phase = max(o.phase, p)
}

// check compares the snapshot with the content of the store.
func (o *storeModel) check(t *rapid.T) {
	v := o.snapshot()
	require.Equal(t, o.version, v.Config.Version)
	sv := v.Services[testService]
	stable, trial := ids(&sv.Stable), ids(&sv.Canary)
	for _, id := range append(stable, trial...) {
		e, ok := o.listed[id]
		if !ok {
			require.LessOrEqual(t, o.now.Sub(o.removedAt[id]), expiryGrace+tickInterval, "%s was removed", id)
			continue
		}
		require.False(t, e.Server.Draining, "%s drains", id)
		require.False(t, o.out[e.Server.Domain], "%s is in an evacuated domain", id)
	}
	for _, id := range trial {
		require.NotEqual(t, canary.PhaseReverted, o.phase, "%s runs a reverted version", id)
	}
	if o.phase == canary.PhaseTrial {
		require.LessOrEqual(t, len(trial), 1)
	}
	if (o.phase == canary.PhaseWhole || o.phase == canary.PhaseDone) && len(trial) > 0 {
		require.Empty(t, stable)
	}
}
