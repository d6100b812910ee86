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

// oracle is what the store said last, and since when.
type oracle struct {
	*bench
	version ident.Revision
	listed  map[ident.ServerID]roster.ServiceServer
	// gone holds when a server's entry vanished; one that may have lapsed is kept for returnTime at most.
	gone  map[ident.ServerID]time.Time
	out   map[ident.DomainName]bool
	phase canary.Phase
	// past holds news of the servers that came before.
	past []Servers
}

// Guards against calls to servers that left, drain, are in a domain that is out or run a version that was taken back,
// and against a configuration that goes back, whatever the order of news, outages and lists.
func TestViewsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			bench: newBench(), version: 1, listed: make(map[ident.ServerID]roster.ServiceServer),
			gone: make(map[ident.ServerID]time.Time), out: make(map[ident.DomainName]bool),
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
			"late":       o.late,
		})
	})
}

func (o *oracle) drawID(t *rapid.T) ident.ServerID {
	return ident.ServerID("s" + strconv.Itoa(rapid.IntRange(0, 7).Draw(t, "server")))
}

func (o *oracle) config(t *rapid.T) {
	v := ident.Revision(rapid.IntRange(1, 50).Draw(t, "version"))
	o.apply(Configs{store.Batch[*rules.Config]{Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(v)}}}})
	o.version = max(o.version, v)
}

func (o *oracle) server(t *rapid.T) {
	id := o.drawID(t)
	e := entry(id, rapid.SampledFrom([]ident.VersionName{"v1", "v2"}).Draw(t, "version"))
	e.Server.Domain = rapid.SampledFrom([]ident.DomainName{"d1", "d2"}).Draw(t, "domain")
	e.Server.Draining = rapid.Bool().Draw(t, "leaving")
	o.rev++
	o.tell(store.Batch[roster.ServiceServer]{
		Objects: []store.Object[roster.ServiceServer]{{Name: string(id), Revision: o.rev, Value: e}}, AsOf: o.rev,
	})
	o.listed[id] = e
	delete(o.gone, id)
}

func (o *oracle) remove(t *rapid.T) {
	id := o.drawID(t)
	o.rev++
	o.tell(store.Batch[roster.ServiceServer]{Removed: []string{string(id)}, AsOf: o.rev})
	o.vanish(id)
}

// tell posts news of the servers and keeps it.
func (o *oracle) tell(b store.Batch[roster.ServiceServer]) {
	o.past = append(o.past, Servers{b})
	o.apply(Servers{b})
}

// late posts former news again, as another instance may that tells it later than the store.
func (o *oracle) late(t *rapid.T) {
	if len(o.past) == 0 {
		t.Skip("no news yet")
	}
	o.apply(rapid.SampledFrom(o.past).Draw(t, "past"))
}

func (o *oracle) vanish(id ident.ServerID) {
	if _, ok := o.listed[id]; ok {
		delete(o.listed, id)
		o.gone[id] = o.now
	}
}

// relist posts a list of the servers, without those that have lapsed.
func (o *oracle) relist(t *rapid.T) {
	o.rev++
	batch := store.Batch[roster.ServiceServer]{Complete: true, AsOf: o.rev}
	for i := range 8 {
		id := ident.ServerID("s" + strconv.Itoa(i))
		e, ok := o.listed[id]
		if ok && rapid.Bool().Draw(t, "lapsed") {
			o.vanish(id)
		} else if ok {
			batch.Objects = append(batch.Objects, store.Object[roster.ServiceServer]{Name: string(id), Revision: o.rev, Value: e})
		}
	}
	o.tell(batch)
}

func (o *oracle) outage(t *rapid.T) {
	o.apply(Lost{Kind: KindServers, Err: store.ErrUnavailable.New("down")})
	o.wait(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * tickInterval)
	o.apply(Regained{Kind: KindServers})
	o.relist(t)
}

func (o *oracle) evacuate(t *rapid.T) {
	d := rapid.SampledFrom([]ident.DomainName{"d1", "d2"}).Draw(t, "domain")
	o.out[d] = !o.out[d]
	o.rev++
	b := store.Batch[ident.DomainName]{AsOf: o.rev}
	if o.out[d] {
		b.Objects = []store.Object[ident.DomainName]{{Name: string(d), Revision: o.rev}}
	} else {
		b.Removed = []string{string(d)}
	}
	o.apply(Evacuations{b})
}

func (o *oracle) advance(t *rapid.T) {
	p := rapid.SampledFrom(canary.PhaseValues()).Draw(t, "phase")
	o.order(1, "v2", true, p)
	o.phase = max(o.phase, p)
}

// check compares the view with what the store said.
func (o *oracle) check(t *rapid.T) {
	v := o.view()
	require.Equal(t, o.version, v.Config.Version)
	sv := v.Services[testService]
	stable, trial := ids(&sv.Stable), ids(&sv.Canary)
	for _, id := range append(stable, trial...) {
		e, ok := o.listed[id]
		if !ok {
			require.LessOrEqual(t, o.now.Sub(o.gone[id]), returnTime+tickInterval, "%s is gone", id)
			continue
		}
		require.False(t, e.Server.Draining, "%s drains", id)
		require.False(t, o.out[e.Server.Domain], "%s is in a domain that is out", id)
	}
	for _, id := range trial {
		require.NotEqual(t, canary.PhaseReverted, o.phase, "%s runs a version that was taken back", id)
	}
	if o.phase == canary.PhaseTrial {
		require.LessOrEqual(t, len(trial), 1)
	}
	if (o.phase == canary.PhaseWhole || o.phase == canary.PhaseDone) && len(trial) > 0 {
		require.Empty(t, stable)
	}
}
