// Package watch makes the platform calls that package dist requests and posts their results to the
// control loop as events.
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

// storeTimeout limits the time to store a rollout status, including retries.
const storeTimeout = 5 * time.Second

// Poster posts events to the control loop.
type Poster interface {
	Post(ctx context.Context, ev ctrl.Event) error
}

// Platform is the client of the platform.
type Platform interface {
	plat.Store
	Watch(ctx context.Context, path string, tag plat.Tag, wait time.Duration, v any) (plat.Tag, bool, error)
}

// Log writes the log lines of a Watcher.
type Log interface {
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Watcher watches platform objects and stores rollout statuses.
type Watcher struct {
	platform Platform
	clock    clockwork.Clock
	outages  *outageLog
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
		outages:  &outageLog{log: log},
		done:     make(chan struct{}),
		queued:   make(chan struct{}, 1),
	}
}

// Done is closed when Run and all its calls have returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Do queues a dist.StartWatch, dist.StopWatch or dist.StoreStatus action. It does not block.
func (w *Watcher) Do(a dist.Action) {
	w.mu.Lock()
	w.queue = append(w.queue, a)
	w.mu.Unlock()
	select {
	case w.queued <- struct{}{}:
	default:
	}
}

func (w *Watcher) dequeueAll() []dist.Action {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue
	w.queue = nil
	return q
}

// Run executes queued actions until the context ends and posts the resulting events to p.
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
		for _, a := range w.dequeueAll() {
			switch a := a.(type) {
			case dist.StartWatch:
				cancelWatch(running, a.Key)
				sub, cancel := context.WithCancel(ctx)
				running[a.Key] = cancel
				wg.Go(func() {
					defer cancel()
					w.post(sub, p, w.watch(sub, a))
				})
			case dist.StopWatch:
				cancelWatch(running, a.Key)
			case dist.StoreStatus:
				wg.Go(func() { w.post(ctx, p, w.storeStatus(ctx, a)) })
			}
		}
	}
}

func cancelWatch(running map[dist.Key]context.CancelFunc, k dist.Key) {
	if cancel, ok := running[k]; ok {
		cancel()
		delete(running, k)
	}
}

// post posts the event unless the call has been canceled.
func (w *Watcher) post(ctx context.Context, p Poster, ev dist.Event) {
	if ctx.Err() == nil {
		// Post only fails when the instance shuts down.
		_ = p.Post(ctx, ctrl.DistEvent{Event: ev})
	}
}
