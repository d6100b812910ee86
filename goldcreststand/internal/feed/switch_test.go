package feed_test

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
	"goldcreststand.example/goldcreststand/internal/feed"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// Guards against calls to the store while the switch is off, against reporting an outage because the switch was
// turned off, and against a watch that continues then.
func TestSwitch(t *testing.T) {
	s := &source{lists: []reply{{batch: batch(1)}, {batch: batch(2)}}, calls: make(chan string, 16)}
	p := poster{events: make(chan hub.Event, 16)}
	on := feed.NewSwitch()
	f := newWatcher(s, p, feed.NewGroup(clockwork.NewRealClock()), on)
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	require.Empty(t, s.calls)
	for _, asOf := range []ident.Revision{1, 2} {
		on.Set(true)
		on.Set(true)
		require.Equal(t, "list", <-s.calls)
		require.Equal(t, "watch", <-s.calls)
		require.Equal(t, hub.EvacuationsUpdate{Batch: batch(asOf)}, <-p.events)
		on.Set(false)
	}
	cancel()
	<-f.Done()
	require.Empty(t, s.calls)
	require.Empty(t, p.events)
}

// slowSource replies to a list when release is closed, and ignores the context.
type slowSource struct {
	source
	release chan struct{}
}

func (s *slowSource) List(context.Context) (store.Batch[ident.DomainName], error) {
	s.calls <- "list"
	<-s.release
	return batch(7), nil
}

// Guards against a batch that is lost because the switch was turned off while it was read: the source does not
// return it again.
func TestBatchIsPostedAfterSwitchIsOff(t *testing.T) {
	s := &slowSource{source: source{calls: make(chan string, 16)}, release: make(chan struct{})}
	p := poster{events: make(chan hub.Event, 16)}
	on := feed.NewSwitch()
	f := newWatcher(s, p, feed.NewGroup(clockwork.NewRealClock()), on)
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	on.Set(true)
	<-s.calls
	on.Set(false)
	close(s.release)
	require.Equal(t, hub.EvacuationsUpdate{Batch: batch(7)}, <-p.events)
	cancel()
	<-f.Done()
}
