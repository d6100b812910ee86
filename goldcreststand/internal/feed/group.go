package feed

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/relay"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// minRestartInterval is the minimum time between two restarts of all watches. Every instance may report a hung watch while
// the store is slow, and each restart reads everything again.
const minRestartInterval = time.Second

// errRestarted reports a watch that ended because another one hung.
var errRestarted = errs.New("another watch was not answered")

// Group holds what the watchers of a process have in common: the circuit breaker and the times of their watches. It is
// safe for concurrent use.
type Group struct {
	*Breaker

	// watching is turned off and on again to end all watches.
	watching *Switch

	mu          sync.Mutex
	turn        relay.Turn
	restartedAt time.Time
}

// NewGroup returns the group of watchers that have not started.
func NewGroup(clock clockwork.Clock) *Group {
	g := &Group{Breaker: NewBreaker(clock, relay.MinBackoff, relay.MaxBackoff), watching: NewSwitch()}
	g.watching.Set(true)
	return g
}

// SetTurn sets the position among the instances that watch the store. It takes effect with the next watches.
func (g *Group) SetTurn(t relay.Turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn = t
}

// watchTime returns the time of the next watch of a kind. changed says that the last call returned changes.
func (g *Group) watchTime(k hub.Kind, changed bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	first, next := g.turn.Waits(int(k), len(hub.KindValues()))
	if changed {
		return first
	}
	return next
}

// watchContext returns the context of a watch. It ends when watches are restarted.
func (g *Group) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return g.watching.Wait(ctx)
}

// RestartWatches ends all watches, because what makes one hang can make the others hang too.
func (g *Group) RestartWatches() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if now.Sub(g.restartedAt) < minRestartInterval {
		return
	}
	g.restartedAt = now
	g.watching.Set(false)
	g.watching.Set(true)
}
