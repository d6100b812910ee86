package hub

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/store"
)

// actionQueue is an Executor that queues the actions.
type actionQueue chan Action

func (a actionQueue) Do(x Action) { a <- x }

// neverPaused is an ElapsedClock of a machine that was never paused.
type neverPaused struct{}

func (neverPaused) Elapsed() time.Duration { return 0 }

// steppedElapsed is an ElapsedClock that the test sets.
type steppedElapsed struct{ d time.Duration }

func (e *steppedElapsed) Elapsed() time.Duration { return e.d }

// messageLog keeps the messages of state changes.
type messageLog struct{ messages []string }

func (l *messageLog) StateChange(msg string, _ logrus.Fields) { l.messages = append(l.messages, msg) }

// Guards against requests that waited for a late process without a line that says that it was late.
func TestLateTickIsLogged(t *testing.T) {
	for _, tt := range []struct {
		took time.Duration
		want []string
	}{
		{took: tickInterval},
		{took: tickInterval + minDelay, want: []string{"hub: tick was late"}},
		{took: 2 * minPause, want: []string{"hub: process was paused"}},
	} {
		clock, out := new(steppedElapsed), new(messageLog)
		l := New(Self{Member: member("i1")}, clockwork.NewFakeClock(), clock, make(actionQueue, 16), out)
		l.tick()
		out.messages, clock.d = nil, tt.took
		l.tick()
		require.Equal(t, tt.want, out.messages, "%v", tt.took)
	}
}

// Guards against a start that reads the list of members only at the second tick.
func TestStartReadsMembersAtOnce(t *testing.T) {
	done := make(actionQueue, 16)
	l := New(Self{Member: member("i1")}, clockwork.NewFakeClock(), neverPaused{}, done, noLog{})
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	require.Equal(t, WatchKinds{Kinds: map[Kind]bool{KindMembers: true}}, <-done)
	cancel()
	<-l.Done()
}

// Guards against an event that ends the process, and that would end it again after each restart.
func TestFailedEventDoesNotEndTheLoop(t *testing.T) {
	done := make(actionQueue, 64)
	l := New(Self{Member: member("i1")}, clockwork.NewFakeClock(), neverPaused{}, done, noLog{})
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	order := store.Object[*canary.RolloutOrder]{Name: "svc", Revision: 1}
	require.NoError(t, l.Post(ctx, OrdersUpdate{store.Batch[*canary.RolloutOrder]{Complete: true, AsOf: at(1), Objects: []store.Object[*canary.RolloutOrder]{order}}}))
	require.NoError(t, l.Post(ctx, MembersUpdate{store.Batch[ring.Member]{Complete: true, AsOf: at(1), Objects: []store.Object[ring.Member]{
		{Name: "i7", Revision: 1, Value: member("i7")},
	}}}))
	require.Eventually(t, func() bool { return len(l.Load().Members) == 1 }, time.Second, time.Millisecond)
	cancel()
	<-l.Done()
}
