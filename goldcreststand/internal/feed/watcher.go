// Package feed lists and watches the objects of each kind in the store and posts them to the control goroutine. It
// also carries out the writes that the control goroutine requests.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/store"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/lib/guard"
)

// Source reads the objects of one kind.
type Source[T any] interface {
	// List returns all current objects of the store.
	List(ctx context.Context) (store.Batch[T], error)
	// Watch returns the changes after the position and waits up to the given time for one. The error has the class
	// store.ErrExpired when the store no longer has these changes, and wraps context.DeadlineExceeded when it did not
	// reply in time.
	Watch(ctx context.Context, from store.Position, wait time.Duration) (store.Batch[T], error)
}

// Poster posts events to the control goroutine.
type Poster interface {
	Post(ctx context.Context, ev hub.Event) error
}

// Watcher lists and watches the objects of one kind.
type Watcher[T any] struct {
	kind    hub.Kind
	source  Source[T]
	event   func(store.Batch[T]) hub.Event
	poster  Poster
	group   *Group
	enabled *Switch
	clock   clockwork.Clock
	// minInterval is the delay before each watch. Changes in quick succession arrive with one call.
	minInterval time.Duration
	unavailable bool
	done        chan struct{}
}

// New returns a watcher that has not started. It calls the store while the switch is on, and posts the events
// that event makes of the batches.
func New[T any](
	k hub.Kind, s Source[T], event func(store.Batch[T]) hub.Event, p Poster, g *Group, enabled *Switch, clock clockwork.Clock, minInterval time.Duration,
) *Watcher[T] {
	return &Watcher[T]{kind: k, source: s, event: event, poster: p, group: g, enabled: enabled, clock: clock, minInterval: minInterval, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (w *Watcher[T]) Done() <-chan struct{} { return w.done }

// Run lists and watches the objects until the context ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	defer close(w.done)
	for ctx.Err() == nil {
		onCtx, stop := w.enabled.Wait(ctx)
		w.unavailable = false
		for onCtx.Err() == nil {
			w.listAndWatch(onCtx, ctx)
		}
		stop()
	}
}

// listAndWatch lists the objects, then watches them until a call fails or the switch is turned off. A batch that
// was read is posted even if the switch was turned off meanwhile, because the source does not return it again.
func (w *Watcher[T]) listAndWatch(onCtx, ctx context.Context) {
	w.group.Wait(onCtx)
	b, err := read(func() (store.Batch[T], error) { return w.source.List(onCtx) })
	if err != nil {
		w.reportFailure(onCtx, err)
		return
	}
	w.postBatch(ctx, b)
	w.watch(onCtx, ctx, b.AsOf)
}

// watch waits for changes until a watch fails or the context ends. After a failed watch only a new list shows
// which changes were missed.
func (w *Watcher[T]) watch(onCtx, ctx context.Context, from store.Position) {
	changed := true
	for onCtx.Err() == nil {
		w.pause(onCtx, w.minInterval)
		b, err := w.watchOnce(onCtx, from, w.group.watchTime(w.kind, changed))
		switch {
		case store.ErrExpired.Has(err), errors.Is(err, errRestarted):
			_ = w.poster.Post(ctx, hub.WatchInterrupted{Kind: w.kind})
			return
		case err != nil:
			w.reportFailure(onCtx, err)
			return
		}
		from, changed = b.AsOf, !b.Empty()
		w.postBatch(ctx, b)
	}
}

// watchOnce makes one watch. When the watch of any kind hangs, those of all kinds end; it then fails with errRestarted.
func (w *Watcher[T]) watchOnce(ctx context.Context, from store.Position, wait time.Duration) (store.Batch[T], error) {
	watchCtx, stop := w.group.watchContext(ctx)
	defer stop()
	b, err := read(func() (store.Batch[T], error) { return w.source.Watch(watchCtx, from, wait) })
	switch {
	case err == nil || ctx.Err() != nil:
		return b, err
	case watchCtx.Err() != nil:
		return b, errRestarted
	case errors.Is(err, context.DeadlineExceeded):
		w.group.RestartWatches()
		_ = w.poster.Post(ctx, hub.WatchHung{Kind: w.kind})
	}
	return b, err
}

// read calls a method of the source. A reply on which the decoder panics counts as a failed call.
func read[T any](call func() (store.Batch[T], error)) (b store.Batch[T], err error) {
	if failure := guard.Call(func() { b, err = call() }); failure != nil {
		return store.Batch[T]{}, store.ErrUnavailable.Wrap(failure)
	}
	return b, err
}

// postBatch posts the batch, after StoreAvailable if the store was unavailable.
func (w *Watcher[T]) postBatch(ctx context.Context, b store.Batch[T]) {
	w.group.RecordSuccess()
	if w.unavailable {
		w.unavailable = false
		_ = w.poster.Post(ctx, hub.StoreAvailable{Kind: w.kind})
	}
	// Post fails only when the control goroutine has ended.
	_ = w.poster.Post(ctx, w.event(b))
}

// reportFailure posts StoreUnavailable. The breaker delays the next call.
func (w *Watcher[T]) reportFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.unavailable = true
	_ = w.poster.Post(ctx, hub.StoreUnavailable{Kind: w.kind, Err: err})
	w.group.RecordFailure()
}

func (w *Watcher[T]) pause(ctx context.Context, d time.Duration) {
	select {
	case <-w.clock.After(d):
	case <-ctx.Done():
	}
}
