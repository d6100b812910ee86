package feed_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/store"
	"goldcreststand.example/goldcreststand/internal/feed"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// reply is what a source returns to one call, or a panic.
type reply struct {
	batch  store.Batch[ident.DomainName]
	err    error
	panics bool
}

// source returns the replies in order, then blocks until the context ends.
type source struct {
	lists, watches []reply
	calls          chan string
	// waits are the times of the watches.
	waits []time.Duration
}

func (s *source) List(ctx context.Context) (store.Batch[ident.DomainName], error) {
	return s.next(ctx, &s.lists, "list")
}

func (s *source) Watch(ctx context.Context, _ store.Position, wait time.Duration) (store.Batch[ident.DomainName], error) {
	s.waits = append(s.waits, wait)
	return s.next(ctx, &s.watches, "watch")
}

func (s *source) next(ctx context.Context, rs *[]reply, name string) (store.Batch[ident.DomainName], error) {
	s.calls <- name
	if len(*rs) == 0 {
		<-ctx.Done()
		return store.Batch[ident.DomainName]{}, ctx.Err()
	}
	r := (*rs)[0]
	*rs = (*rs)[1:]
	if r.panics {
		panic("reply cannot be decoded")
	}
	return r.batch, r.err
}

// poster records the events.
type poster struct{ events chan hub.Event }

func (p poster) Post(_ context.Context, ev hub.Event) error {
	p.events <- ev
	return nil
}

func newWatcher(s feed.Source[ident.DomainName], p feed.Poster, g *feed.Group, on *feed.Switch) *feed.Watcher[ident.DomainName] {
	event := func(b store.Batch[ident.DomainName]) hub.Event { return hub.EvacuationsUpdate{Batch: b} }
	return feed.New(hub.KindEvacuations, s, event, p, g, on, clockwork.NewRealClock(), time.Millisecond)
}

// run runs a watcher until it has made the calls, and returns the events.
func run(t *testing.T, s *source, calls ...string) []hub.Event {
	s.calls = make(chan string, 16)
	p := poster{events: make(chan hub.Event, 16)}
	on := feed.NewSwitch()
	on.Set(true)
	w := newWatcher(s, p, feed.NewGroup(clockwork.NewRealClock()), on)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	for _, want := range calls {
		require.Equal(t, want, <-s.calls)
	}
	cancel()
	<-w.Done()
	close(p.events)
	var out []hub.Event
	for ev := range p.events {
		out = append(out, ev)
	}
	return out
}

func batch(as ident.Revision) store.Batch[ident.DomainName] {
	return store.Batch[ident.DomainName]{AsOf: store.Position{Revision: as}}
}

// Guards against changes that are missed because a watch continues after it failed or its history expired.
func TestWatcherListsAfterFailedWatch(t *testing.T) {
	for name, err := range map[string]error{"expired": store.ErrExpired.New("x"), "cut": store.ErrUnknown.New("x")} {
		t.Run(name, func(t *testing.T) {
			s := &source{lists: []reply{{batch: batch(1)}, {batch: batch(5)}}, watches: []reply{{batch: batch(2)}, {err: err}}}
			events := run(t, s, "list", "watch", "watch", "list", "watch")
			last := events[len(events)-1]
			require.Equal(t, hub.EvacuationsUpdate{Batch: batch(5)}, last)
			if name == "cut" {
				require.IsType(t, hub.StoreUnavailable{}, events[2])
				require.IsType(t, hub.StoreAvailable{}, events[3])
			}
		})
	}
}

// Guards against an outage that is not posted, or is posted after the event that ends it.
func TestWatcherReportsOutages(t *testing.T) {
	down := reply{err: store.ErrUnavailable.New("down")}
	s := &source{lists: []reply{down, down, {batch: batch(3)}}}
	events := run(t, s, "list", "list", "list", "watch")
	require.Len(t, events, 4)
	require.IsType(t, hub.StoreUnavailable{}, events[0])
	require.IsType(t, hub.StoreUnavailable{}, events[1])
	require.Equal(t, hub.StoreAvailable{Kind: hub.KindEvacuations}, events[2])
}

// waitFour returns a channel that receives a value for each of four callers that the breaker allows a call. None is allowed at
// once.
func waitFour(t *testing.T, b *feed.Breaker, clock *clockwork.FakeClock) <-chan struct{} {
	passed := make(chan struct{}, 4)
	for range 4 {
		go func() {
			b.Wait(t.Context())
			passed <- struct{}{}
		}()
	}
	require.NoError(t, clock.BlockUntilContext(t.Context(), 4))
	require.Empty(t, passed)
	return passed
}

// Guards against calls of all watchers during an outage of the store, and against watchers that keep waiting
// after it.
func TestBreakerAllowsOneTrialCall(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := feed.NewBreaker(clock, 100*time.Millisecond, 800*time.Millisecond)
	b.Wait(t.Context())
	b.RecordFailure()
	passed := waitFour(t, b, clock)
	clock.Advance(100 * time.Millisecond)
	<-passed
	require.NoError(t, clock.BlockUntilContext(t.Context(), 3))
	require.Empty(t, passed)
	b.RecordSuccess()
	for range 3 {
		<-passed
	}
	b.Wait(t.Context())
}

// Guards against a reply of the store that ends the process.
func TestPanicCountsAsFailedCall(t *testing.T) {
	events := run(t, &source{lists: []reply{{panics: true}, {batch: batch(3)}}, watches: []reply{{panics: true}}},
		"list", "list", "watch", "list")
	require.GreaterOrEqual(t, len(events), 3)
	require.IsType(t, hub.StoreUnavailable{}, events[0])
	require.IsType(t, hub.StoreAvailable{}, events[1])
	require.IsType(t, hub.EvacuationsUpdate{}, events[2])
}

// Guards against watches that wait for replies that never come, because they were sent while the store was silent and only
// one of them is found to hang.
func TestHangingWatchEndsTheOthers(t *testing.T) {
	g := feed.NewGroup(clockwork.NewRealClock())
	on := feed.NewSwitch()
	on.Set(true)
	waiting := &source{lists: []reply{{batch: batch(1)}, {batch: batch(4)}}, calls: make(chan string, 16)}
	hanging := &source{
		lists: []reply{{batch: batch(1)}, {batch: batch(4)}}, calls: make(chan string, 16),
		watches: []reply{{err: store.ErrUnknown.Wrap(context.DeadlineExceeded)}},
	}
	ctx, cancel := context.WithCancel(t.Context())
	for _, s := range []*source{waiting, hanging} {
		w := newWatcher(s, poster{events: make(chan hub.Event, 16)}, g, on)
		go w.Run(ctx)
		defer func() { <-w.Done() }()
		require.Equal(t, "list", <-s.calls)
		require.Equal(t, "watch", <-s.calls)
	}
	defer cancel()
	for _, s := range []*source{waiting, hanging} {
		require.Equal(t, "list", <-s.calls)
		require.Equal(t, "watch", <-s.calls)
	}
}

// Guards against watches that last longer than the turn allows, or end at the same time as those of other instances.
func TestWatchesLastAsLongAsTheTurn(t *testing.T) {
	g := feed.NewGroup(clockwork.NewRealClock())
	turn := relay.Turn{Index: 2, Of: 8}
	g.SetTurn(turn)
	on := feed.NewSwitch()
	on.Set(true)
	changed := batch(3)
	changed.Removed = []string{"z"}
	s := &source{lists: []reply{{batch: batch(1)}}, watches: []reply{{batch: batch(2)}, {batch: changed}}, calls: make(chan string, 16)}
	w := newWatcher(s, poster{events: make(chan hub.Event, 16)}, g, on)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	for _, want := range []string{"list", "watch", "watch", "watch"} {
		require.Equal(t, want, <-s.calls)
	}
	cancel()
	<-w.Done()
	first, next := turn.Waits(int(hub.KindEvacuations), len(hub.KindValues()))
	require.Equal(t, []time.Duration{first, next, first}, s.waits)
}

// Guards against watchers that read everything again and again, because many instances report hung watches at once.
func TestRestartsAreLimited(t *testing.T) {
	g := feed.NewGroup(clockwork.NewFakeClock())
	on := feed.NewSwitch()
	on.Set(true)
	s := &source{lists: []reply{{batch: batch(1)}, {batch: batch(2)}, {batch: batch(3)}}, calls: make(chan string, 16)}
	w := newWatcher(s, poster{events: make(chan hub.Event, 16)}, g, on)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	for range 2 {
		require.Equal(t, "list", <-s.calls)
		require.Equal(t, "watch", <-s.calls)
		g.RestartWatches()
	}
	cancel()
	<-w.Done()
	require.Empty(t, s.calls)
}
