// Package watch carries out the calls of the platform that the distribution core asks for, and posts
// what they bring to control.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/lib/plat"
)

// storeTimeout bounds the storing of a rollout status with all its tries.
const storeTimeout = 5 * time.Second

// Poster hands events to control.
type Poster interface {
	Post(ctx context.Context, ev ctrl.Event) error
}

// Platform is the part of the platform's client that a Watcher uses.
type Platform interface {
	plat.Store
	Watch(ctx context.Context, path string, tag plat.Tag, wait time.Duration, v any) (plat.Tag, bool, error)
}

// Log is the log of a Watcher.
type Log interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Watcher carries out calls of the platform.
type Watcher struct {
	platform Platform
	clock    clockwork.Clock
	log      *outageLog
	done     chan struct{}

	mu     sync.Mutex
	queue  []dist.Action
	queued chan struct{}
}

// New returns a watcher that has not started.
func New(p Platform, clock clockwork.Clock, log Log) *Watcher {
	return &Watcher{
		platform: p,
		clock:    clock,
		log:      &outageLog{log: log},
		done:     make(chan struct{}),
		queued:   make(chan struct{}, 1),
	}
}

// Done is closed when Run and all its calls have returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Do queues a dist.Watch, dist.Unwatch or dist.Store and does not block.
func (w *Watcher) Do(a dist.Action) {
	w.mu.Lock()
	w.queue = append(w.queue, a)
	w.mu.Unlock()
	select {
	case w.queued <- struct{}{}:
	default:
	}
}

func (w *Watcher) take() []dist.Action {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue
	w.queue = nil
	return q
}

// Run carries out calls until the context ends and posts to p.
func (w *Watcher) Run(ctx context.Context, p Poster) {
	defer close(w.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	running := make(map[dist.Key]context.CancelFunc)
	for {
		select {
		case <-w.queued:
		case <-ctx.Done():
			return
		}
		for _, a := range w.take() {
			switch a := a.(type) {
			case dist.StartWatch:
				end(running, a.Key)
				sub, cancel := context.WithCancel(ctx)
				running[a.Key] = cancel
				wg.Go(func() {
					defer cancel()
					w.post(sub, p, w.watch(sub, a))
				})
			case dist.StopWatch:
				end(running, a.Key)
			case dist.StoreStatus:
				wg.Go(func() { w.post(ctx, p, w.store(ctx, a)) })
			}
		}
	}
}

func end(running map[dist.Key]context.CancelFunc, k dist.Key) {
	if cancel, ok := running[k]; ok {
		cancel()
		delete(running, k)
	}
}

// post hands the event to control unless the call was ended meanwhile.
func (w *Watcher) post(ctx context.Context, p Poster, ev dist.Event) {
	if ctx.Err() == nil {
		// Post fails only when the instance stops.
		_ = p.Post(ctx, ctrl.DistSeen{Event: ev})
	}
}
