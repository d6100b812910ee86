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

// errRestarted reports a watch that ended because another one hung.
var errRestarted = errs.New("another watch was not answered")

// Shared is what the watchers of a process share: the circuit breaker and the times of their watches. It is safe for
// concurrent use.
type Shared struct {
	*Breaker

	// watching is turned off and on again to end all watches.
	watching *Switch

	mu   sync.Mutex
	turn relay.Turn
}

// NewShared returns the state of watchers that have not started.
func NewShared(clock clockwork.Clock) *Shared {
	s := &Shared{Breaker: NewBreaker(clock), watching: NewSwitch()}
	s.watching.Set(true)
	return s
}

// SetTurn sets the position among the instances that watch the store. It takes effect with the next watches.
func (s *Shared) SetTurn(t relay.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn = t
}

// watchTime returns the time of the next watch of a kind. changed says that the last call returned changes.
func (s *Shared) watchTime(k hub.Kind, changed bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, next := s.turn.Waits(int(k), len(hub.KindValues()))
	if changed {
		return first
	}
	return next
}

// watchContext returns the context of a watch. It ends when watches are restarted.
func (s *Shared) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return s.watching.Wait(ctx)
}

// RestartWatches ends all watches, because what makes one hang can make the others hang too.
func (s *Shared) RestartWatches() {
	s.watching.Set(false)
	s.watching.Set(true)
}
