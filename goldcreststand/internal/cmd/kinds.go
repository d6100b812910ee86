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
	// configPollDelay and listPollDelay are the delays between a received change and the next call to the
	// store. Changes must take effect within 2 s, and each call to the store has a cost.
	configPollDelay = 150 * time.Millisecond
	listPollDelay   = 600 * time.Millisecond
)

// objectKind is one kind of object in the store.
type objectKind interface {
	changedAt() store.Position
	export(from store.Position) (json.RawMessage, store.Position, error)
	decode(raw json.RawMessage) (hub.Event, error)
	follower(k hub.Kind, p feed.Poster, group *feed.Group, enabled *feed.Switch, clock clockwork.Clock) runner
}

// typedKind is an object kind whose objects have type T.
type typedKind[T any] struct {
	collection *site.Collection[T]
	event      func(store.Batch[T]) hub.Event
	pollDelay  time.Duration
}

func (t typedKind[T]) changedAt() store.Position { return t.collection.ChangedAt() }

func (t typedKind[T]) export(from store.Position) (json.RawMessage, store.Position, error) {
	return t.collection.Export(from)
}

func (t typedKind[T]) decode(raw json.RawMessage) (hub.Event, error) {
	b, newer, err := t.collection.Import(raw)
	if err != nil || !newer {
		return nil, err
	}
	return t.event(b), nil
}

func (t typedKind[T]) follower(k hub.Kind, p feed.Poster, group *feed.Group, enabled *feed.Switch, clock clockwork.Clock) runner {
	return feed.New(k, t.collection, t.event, p, group, enabled, clock, t.pollDelay)
}

// kinds holds all object kinds that control follows.
type kinds struct {
	changes  *site.Notifier
	all      map[hub.Kind]objectKind
	switches map[hub.Kind]*feed.Switch
	group    *feed.Group
}

var _ mesh.Replicas = (*kinds)(nil)

func newKinds(c *site.Client, clock clockwork.Clock) *kinds {
	n := site.NewNotifier()
	ks := &kinds{changes: n, switches: make(map[hub.Kind]*feed.Switch), group: feed.NewGroup(clock)}
	for _, k := range hub.KindValues() {
		ks.switches[k] = feed.NewSwitch()
	}
	ks.all = map[hub.Kind]objectKind{
		hub.KindConfig: typedKind[*rules.Config]{
			site.Configs(c, n), func(b store.Batch[*rules.Config]) hub.Event { return hub.ConfigUpdate{Batch: b} }, configPollDelay,
		},
		hub.KindServers: typedKind[roster.ServiceServer]{
			site.Servers(c, n), func(b store.Batch[roster.ServiceServer]) hub.Event { return hub.ServersUpdate{Batch: b} }, listPollDelay,
		},
		hub.KindOrders: typedKind[*canary.RolloutOrder]{
			site.Orders(c, n, clock), func(b store.Batch[*canary.RolloutOrder]) hub.Event { return hub.OrdersUpdate{Batch: b} }, listPollDelay,
		},
		hub.KindEvacuations: typedKind[ident.DomainName]{
			site.Evacuations(c, n), func(b store.Batch[ident.DomainName]) hub.Event { return hub.EvacuationsUpdate{Batch: b} }, listPollDelay,
		},
		hub.KindMembers: typedKind[ring.Member]{
			site.Members(c, n), func(b store.Batch[ring.Member]) hub.Event { return hub.MembersUpdate{Batch: b} }, listPollDelay,
		},
	}
	return ks
}

// ChangedAt returns the position as of which the objects of a kind last changed.
func (ks *kinds) ChangedAt(k hub.Kind) store.Position { return ks.all[k].changedAt() }

// NextChange returns a channel that is closed when the objects of any kind change.
func (ks *kinds) NextChange() <-chan struct{} { return ks.changes.NextChange() }

// Export returns the objects of a kind that changed after the position, in the store's encoding.
func (ks *kinds) Export(k hub.Kind, from store.Position) (json.RawMessage, store.Position, error) {
	return ks.all[k].export(from)
}

// Import returns the event for objects in the store's encoding, or nil when they are not newer than the known
// ones.
func (ks *kinds) Import(k hub.Kind, raw json.RawMessage) (hub.Event, error) {
	return ks.all[k].decode(raw)
}

// setWatched enables the followers of the action's kinds, disables the others and sets the times of their watches.
func (ks *kinds) setWatched(a hub.WatchKinds) {
	ks.group.SetTurn(a.Turn)
	if len(a.Kinds) == len(ks.switches) {
		// Control watches all kinds when the store may reply. The watchers need not wait until an earlier outage has ended.
		ks.group.RecordSuccess()
	}
	for k, s := range ks.switches {
		s.Set(a.Kinds[k])
	}
}

// followers returns the followers of the store, one per kind.
func (ks *kinds) followers(p feed.Poster, clock clockwork.Clock) []runner {
	out := make([]runner, 0, len(ks.all))
	for _, k := range hub.KindValues() {
		out = append(out, ks.all[k].follower(k, p, ks.group, ks.switches[k], clock))
	}
	return out
}
