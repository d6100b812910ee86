// Package feed lists and watches the objects of each kind in the store and posts them to the control goroutine. It
// also carries out the writes that the control goroutine requests.
package feed

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// watchWait is the maximum time for which a watch waits; the store allows 30 s. Long waits reduce the number of
// calls, each of which has a cost.
const watchWait = 25 * time.Second

// Source reads the objects of one kind.
type Source[T any] interface {
	// List returns all current objects of the store.
	List(ctx context.Context) (store.Batch[T], error)
	// Watch returns the changes after the revision and waits up to the given time for one. The error has the class
	// store.ErrExpired when the store no longer has these changes.
	Watch(ctx context.Context, from ident.Revision, wait time.Duration) (store.Batch[T], error)
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
	breaker *Breaker
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
	k hub.Kind, s Source[T], event func(store.Batch[T]) hub.Event, p Poster, b *Breaker, on *Switch, clock clockwork.Clock, minInterval time.Duration,
) *Watcher[T] {
	return &Watcher[T]{kind: k, source: s, event: event, poster: p, breaker: b, enabled: on, clock: clock, minInterval: minInterval, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (f *Watcher[T]) Done() <-chan struct{} { return f.done }

// Run lists and watches the objects until the context ends.
func (f *Watcher[T]) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		on, stop := f.enabled.Wait(ctx)
		f.unavailable = false
		for on.Err() == nil {
			f.listAndWatch(on, ctx)
		}
		stop()
	}
}

// listAndWatch lists the objects, then watches them until a call fails or the switch is turned off. A batch that
// was read is posted also after that, because the source does not return it again.
func (f *Watcher[T]) listAndWatch(on, ctx context.Context) {
	f.breaker.Wait(on)
	b, err := f.source.List(on)
	if err != nil {
		f.reportFailure(on, err)
		return
	}
	f.postBatch(ctx, b)
	f.watch(on, ctx, b.AsOf)
}

// watch waits for changes until a watch fails or the context ends. After a failed watch only a new list shows
// which changes were missed.
func (f *Watcher[T]) watch(on, ctx context.Context, from ident.Revision) {
	for on.Err() == nil {
		f.pause(on, f.minInterval)
		b, err := f.source.Watch(on, from, watchWait)
		switch {
		case store.ErrExpired.Has(err):
			return
		case err != nil:
			f.reportFailure(on, err)
			return
		}
		from = b.AsOf
		f.postBatch(ctx, b)
	}
}

// postBatch posts the batch, after StoreAvailable if the store was unavailable.
func (f *Watcher[T]) postBatch(ctx context.Context, b store.Batch[T]) {
	f.breaker.RecordSuccess()
	if f.unavailable {
		f.unavailable = false
		_ = f.poster.Post(ctx, hub.StoreAvailable{Kind: f.kind})
	}
	// Post fails only when the control goroutine has ended.
	_ = f.poster.Post(ctx, f.event(b))
}

// reportFailure posts StoreUnavailable. The breaker delays the next call.
func (f *Watcher[T]) reportFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.unavailable = true
	_ = f.poster.Post(ctx, hub.StoreUnavailable{Kind: f.kind, Err: err})
	f.breaker.RecordFailure()
}

func (f *Watcher[T]) pause(ctx context.Context, d time.Duration) {
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
	}
}
