package feed_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/goldcreststand/internal/feed"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// checker records the deadlines of the checks and returns an error.
type checker struct {
	deadlines chan time.Time
	era       ident.Era
	err       error
}

func (c checker) Check(ctx context.Context) (ident.Era, error) {
	at, _ := ctx.Deadline()
	c.deadlines <- at
	return c.era, c.err
}

// Guards against a check that never ends because the store is silent, and against a result that control does not learn.
func TestChecksEndAndArePosted(t *testing.T) {
	c := checker{deadlines: make(chan time.Time, 1), era: 3, err: context.DeadlineExceeded}
	p := poster{events: make(chan hub.Event, 1)}
	q := feed.NewCheckQueue(c, p)
	ctx, cancel := context.WithCancel(t.Context())
	go q.Run(ctx)
	before := time.Now()
	q.Check(hub.CheckStore{At: before})
	require.WithinRange(t, <-c.deadlines, before, time.Now().Add(relay.CheckTimeout))
	require.Equal(t, hub.StoreChecked{At: before, Era: 3, Err: context.DeadlineExceeded}, <-p.events)
	cancel()
	<-q.Done()
}

// Guards against checks that are lost without a result, because too many are in progress.
func TestRefusedCheckIsPosted(t *testing.T) {
	p := poster{events: make(chan hub.Event, 64)}
	q := feed.NewCheckQueue(checker{}, p)
	for range 32 {
		q.Check(hub.CheckStore{At: time.Unix(1, 0)})
	}
	ev, ok := (<-p.events).(hub.StoreChecked)
	require.True(t, ok)
	require.Error(t, ev.Err)
}
