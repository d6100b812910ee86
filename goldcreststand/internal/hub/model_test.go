package hub

import (
	"maps"
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
	// revisions holds the revision of each listed entry.
	revisions map[ident.ServerID]ident.Revision
	// removedAt holds the time at which a server's entry was removed. Such a server is kept for at most expiryGrace.
	removedAt        map[ident.ServerID]time.Time
	evacuatedDomains map[ident.DomainName]bool
	// copied is the copy to which the store may return. leftUntil and evacuatedUntil hold the servers and the failure domains that the
	// store has lost to be leaving or out of service, with the time until which they stay so.
	copied         storeCopy
	leftUntil      map[ident.ServerID]time.Time
	evacuatedUntil map[ident.DomainName]time.Time
	phase          canary.Phase
	// posted holds the updates of servers posted so far.
	posted []ServersUpdate
}

// storeCopy is an older copy of the store's content.
type storeCopy struct {
	rev              ident.Revision
	listed           map[ident.ServerID]roster.ServiceServer
	revisions        map[ident.ServerID]ident.Revision
	evacuatedDomains map[ident.DomainName]bool
}

// Guards against calls to servers that were removed, drain, are in an evacuated domain or run a reverted version,
// and against an older configuration, for any order of changes, outages, lists and returns of the store to an older copy.
func TestSnapshotsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{
			harness: newHarness(), version: 1, listed: make(map[ident.ServerID]roster.ServiceServer),
			removedAt: make(map[ident.ServerID]time.Time), evacuatedDomains: make(map[ident.DomainName]bool),
			revisions: make(map[ident.ServerID]ident.Revision),
			leftUntil: make(map[ident.ServerID]time.Time), evacuatedUntil: make(map[ident.DomainName]time.Time),
		}
		m.takeCopy(t)
		m.order(1, "v2", true, canary.PhaseTrial)
		t.Repeat(map[string]func(*rapid.T){
			"":           m.check,
			"time":       func(t *rapid.T) { m.wait(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * tickInterval) },
			"config":     m.config,
			"server":     m.server,
			"remove":     m.remove,
			"list":       m.relist,
			"outage":     m.outage,
			"evacuation": m.evacuate,
			"phase":      m.advance,
			"late":       m.repost,
			"copy":       m.takeCopy,
			"return":     m.restoreCopy,
		})
	})
}

func (m *storeModel) drawID(t *rapid.T) ident.ServerID {
	return ident.ServerID("s" + strconv.Itoa(rapid.IntRange(0, 7).Draw(t, "server")))
}

func (m *storeModel) config(t *rapid.T) {
	v := ident.Revision(rapid.IntRange(1, 50).Draw(t, "version"))
	m.apply(ConfigUpdate{store.Batch[*rules.Config]{Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(v)}}}})
	m.version = max(m.version, v)
}

func (m *storeModel) server(t *rapid.T) {
	id := m.drawID(t)
	e := entry(id, rapid.SampledFrom([]ident.VersionName{"v1", "v2"}).Draw(t, "version"))
	e.Server.Domain = rapid.SampledFrom([]ident.DomainName{"d1", "d2"}).Draw(t, "domain")
	e.Server.Draining = rapid.Bool().Draw(t, "leaving")
	m.rev++
	m.post(store.Batch[roster.ServiceServer]{
		Objects: []store.Object[roster.ServiceServer]{{Name: string(id), Revision: m.rev, Value: e}}, AsOf: m.at(),
	})
	m.listed[id], m.revisions[id] = e, m.rev
	delete(m.removedAt, id)
	delete(m.leftUntil, id)
}

func (m *storeModel) takeCopy(*rapid.T) {
	m.copied = storeCopy{rev: m.rev, listed: maps.Clone(m.listed), revisions: maps.Clone(m.revisions), evacuatedDomains: maps.Clone(m.evacuatedDomains)}
}

// restoreCopy sets the store back to the copy, and posts the lists that an instance then reads.
func (m *storeModel) restoreCopy(t *rapid.T) {
	before, evacuated := m.listed, m.evacuatedDomains
	m.returnTo(m.copied.rev)
	m.listed, m.revisions, m.evacuatedDomains = maps.Clone(m.copied.listed), maps.Clone(m.copied.revisions), maps.Clone(m.copied.evacuatedDomains)
	for id, e := range before {
		if _, ok := m.listed[id]; !ok {
			m.removedAt[id] = m.now
		} else if e.Server.Draining {
			m.leftUntil[id] = m.now.Add(reaffirmTime)
		}
	}
	for d, until := range m.evacuatedUntil {
		evacuated[d] = evacuated[d] || m.now.Before(until)
	}
	var domains []ident.DomainName
	for _, d := range []ident.DomainName{"d1", "d2"} {
		if m.evacuatedDomains[d] {
			domains = append(domains, d)
		} else if evacuated[d] {
			m.evacuatedUntil[d] = m.now.Add(reaffirmTime)
		}
	}
	m.relist(t)
	m.harness.evacuate(true, domains...)
}

func (m *storeModel) remove(t *rapid.T) {
	id := m.drawID(t)
	m.rev++
	m.post(store.Batch[roster.ServiceServer]{Removed: []string{string(id)}, AsOf: m.at()})
	m.removeEntry(id)
}

// post posts an update of the servers and records it.
func (m *storeModel) post(b store.Batch[roster.ServiceServer]) {
	m.posted = append(m.posted, ServersUpdate{b})
	m.apply(ServersUpdate{b})
}

// repost posts an earlier update again, as another instance may report it later than the store.
func (m *storeModel) repost(t *rapid.T) {
	if len(m.posted) == 0 {
		t.Skip("no update posted yet")
	}
	m.apply(rapid.SampledFrom(m.posted).Draw(t, "past"))
}

func (m *storeModel) removeEntry(id ident.ServerID) {
	if _, ok := m.listed[id]; ok {
		delete(m.listed, id)
		m.removedAt[id] = m.now
	}
}

// relist posts a complete list of the servers, without those whose entries have expired.
func (m *storeModel) relist(t *rapid.T) {
	m.rev++
	batch := store.Batch[roster.ServiceServer]{Complete: true, AsOf: m.at()}
	for i := range 8 {
		id := ident.ServerID("s" + strconv.Itoa(i))
		e, ok := m.listed[id]
		if ok && rapid.Bool().Draw(t, "lapsed") {
			m.removeEntry(id)
		} else if ok {
			batch.Objects = append(batch.Objects, store.Object[roster.ServiceServer]{Name: string(id), Revision: m.revisions[id], Value: e})
		}
	}
	m.post(batch)
}

func (m *storeModel) outage(t *rapid.T) {
	m.apply(StoreUnavailable{Kind: KindServers, Err: store.ErrUnavailable.New("down")})
	m.wait(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * tickInterval)
	m.apply(StoreAvailable{Kind: KindServers})
	m.relist(t)
}

func (m *storeModel) evacuate(t *rapid.T) {
	d := rapid.SampledFrom([]ident.DomainName{"d1", "d2"}).Draw(t, "domain")
	m.evacuatedDomains[d] = !m.evacuatedDomains[d]
	delete(m.evacuatedUntil, d)
	m.rev++
	b := store.Batch[ident.DomainName]{AsOf: m.at()}
	if m.evacuatedDomains[d] {
		b.Objects = []store.Object[ident.DomainName]{{Name: string(d), Revision: m.rev}}
	} else {
		b.Removed = []string{string(d)}
	}
	m.apply(EvacuationsUpdate{b})
}

func (m *storeModel) advance(t *rapid.T) {
	p := rapid.SampledFrom(canary.PhaseValues()).Draw(t, "phase")
	m.order(1, "v2", true, p)
	m.phase = max(m.phase, p)
}

// check compares the snapshot with the content of the store.
func (m *storeModel) check(t *rapid.T) {
	snap := m.snapshot()
	require.Equal(t, m.version, snap.Config.Version)
	svcSnap := snap.Services[testService]
	stable, trial := ids(&svcSnap.Stable), ids(&svcSnap.Canary)
	for _, id := range append(stable, trial...) {
		e, ok := m.listed[id]
		if !ok {
			require.LessOrEqual(t, m.now.Sub(m.removedAt[id]), expiryGrace+tickInterval, "%s was removed", id)
			continue
		}
		require.False(t, e.Server.Draining, "%s drains", id)
		require.False(t, m.evacuatedDomains[e.Server.Domain], "%s is in an evacuated domain", id)
		require.False(t, m.now.Before(m.leftUntil[id].Add(-tickInterval)), "%s drained before the store's return", id)
		require.False(t, m.now.Before(m.evacuatedUntil[e.Server.Domain].Add(-tickInterval)), "%s is in a domain whose evacuation was lost", id)
	}
	for _, id := range trial {
		require.NotEqual(t, canary.PhaseReverted, m.phase, "%s runs a reverted version", id)
	}
	if m.phase == canary.PhaseTrial {
		require.LessOrEqual(t, len(trial), 1)
	}
	if (m.phase == canary.PhaseWhole || m.phase == canary.PhaseDone) && len(trial) > 0 {
		require.Empty(t, stable)
	}
}
