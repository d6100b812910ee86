package hub

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// actionQueue is an Executor that queues the actions.
type actionQueue chan Action

func (a actionQueue) Do(x Action) { a <- x }

// neverPaused is an ElapsedClock of a machine that was never paused.
type neverPaused struct{}

func (neverPaused) Elapsed() time.Duration { return 0 }

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
