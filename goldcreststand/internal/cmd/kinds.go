package cmd

import (
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/store"
	"goldcreststand.example/goldcreststand/internal/feed"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/mesh"
	site "goldcreststand.example/platform"
)

const (
	// configPace and listPace are the times between news and the next call to the store. News must be in
	// force within 2 s, and each call has a price.
	configPace = 150 * time.Millisecond
	listPace   = 600 * time.Millisecond
)

// kind is one kind of objects of the store.
type kind interface {
	known() ident.Revision
	export(from ident.Revision) (json.RawMessage, ident.Revision, error)
	read(raw json.RawMessage) (hub.Event, error)
	follower(k hub.Kind, p feed.Poster, g *feed.Breaker, on *feed.Switch, clock clockwork.Clock) runner
}

// typed is a kind whose objects have type T.
type typed[T any] struct {
	collection *site.Collection[T]
	event      func(store.Batch[T]) hub.Event
	pace       time.Duration
}

func (t typed[T]) known() ident.Revision { return t.collection.Revision() }

func (t typed[T]) export(from ident.Revision) (json.RawMessage, ident.Revision, error) {
	return t.collection.Export(from)
}

func (t typed[T]) read(raw json.RawMessage) (hub.Event, error) {
	b, newer, err := t.collection.Import(raw)
	if err != nil || !newer {
		return nil, err
	}
	return t.event(b), nil
}

func (t typed[T]) follower(k hub.Kind, p feed.Poster, g *feed.Breaker, on *feed.Switch, clock clockwork.Clock) runner {
	return feed.New(k, t.collection, t.event, p, g, on, clock, t.pace)
}

// kinds holds all kinds that control follows.
type kinds struct {
	changes  *site.Notifier
	all      map[hub.Kind]kind
	switches map[hub.Kind]*feed.Switch
}

var _ mesh.Replicas = (*kinds)(nil)

func newKinds(c *site.Client, clock clockwork.Clock) *kinds {
	n := site.NewNotifier()
	ks := &kinds{changes: n, switches: make(map[hub.Kind]*feed.Switch)}
	for _, k := range hub.KindValues() {
		ks.switches[k] = feed.NewSwitch()
	}
	ks.all = map[hub.Kind]kind{
		hub.KindConfig: typed[*rules.Config]{
			site.Configs(c, n), func(b store.Batch[*rules.Config]) hub.Event { return hub.ConfigUpdate{Batch: b} }, configPace,
		},
		hub.KindServers: typed[roster.ServiceServer]{
			site.Servers(c, n), func(b store.Batch[roster.ServiceServer]) hub.Event { return hub.ServersUpdate{Batch: b} }, listPace,
		},
		hub.KindOrders: typed[*canary.RolloutOrder]{
			site.Orders(c, n, clock), func(b store.Batch[*canary.RolloutOrder]) hub.Event { return hub.OrdersUpdate{Batch: b} }, listPace,
		},
		hub.KindEvacuations: typed[ident.DomainName]{
			site.Evacuations(c, n), func(b store.Batch[ident.DomainName]) hub.Event { return hub.EvacuationsUpdate{Batch: b} }, listPace,
		},
		hub.KindMembers: typed[ring.Member]{
			site.Members(c, n), func(b store.Batch[ring.Member]) hub.Event { return hub.MembersUpdate{Batch: b} }, listPace,
		},
	}
	return ks
}

// Revision returns the revision that the objects of a kind show.
func (ks *kinds) Revision(k hub.Kind) ident.Revision { return ks.all[k].known() }

// NextChange returns a channel that is closed when a kind changes.
func (ks *kinds) NextChange() <-chan struct{} { return ks.changes.NextChange() }

// Export returns the objects of a kind that changed after the revision, in the store's form.
func (ks *kinds) Export(k hub.Kind, from ident.Revision) (json.RawMessage, ident.Revision, error) {
	return ks.all[k].export(from)
}

// Import returns the event for objects in the store's form, or nil when they are not newer.
func (ks *kinds) Import(k hub.Kind, raw json.RawMessage) (hub.Event, error) {
	return ks.all[k].read(raw)
}

// watch turns the followers of these kinds on, and the others off.
func (ks *kinds) watch(a hub.WatchKinds) {
	for k, s := range ks.switches {
		s.Set(a.Kinds[k])
	}
}

// followers returns what follows the store.
func (ks *kinds) followers(p feed.Poster, clock clockwork.Clock) []runner {
	gate := feed.NewBreaker(clock)
	out := make([]runner, 0, len(ks.all))
	for _, k := range hub.KindValues() {
		out = append(out, ks.all[k].follower(k, p, gate, ks.switches[k], clock))
	}
	return out
}
