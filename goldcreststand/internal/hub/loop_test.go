package hub

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// actions hands on what control wants done.
type actions chan Action

func (a actions) Do(x Action) { a <- x }

// noPause is a machine that was never suspended.
type noPause struct{}

func (noPause) Elapsed() time.Duration { return 0 }

// Guards against an instance that starts and reads the list of members one tick later than it could.
func TestStartReadsMembersAtOnce(t *testing.T) {
	done := make(actions, 16)
	l := New(Self{Member: member("i1")}, clockwork.NewFakeClock(), noPause{}, done, noLog{})
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	require.Equal(t, Watch{Kinds: map[Kind]bool{KindMembers: true}}, <-done)
	cancel()
	<-l.Done()
}
