// Package feed follows the store: it reads the objects of each kind, waits for their changes and hands both to
// control. It also carries out control's writes.
package feed

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
	"goldcreststand.example/goldcreststand/internal/hub"
)

// watchWait is the longest time for which a watch waits; the store allows 30 s. Each call has a price.
const watchWait = 25 * time.Second

// Source reads the objects of one kind.
type Source[T any] interface {
	// List returns all objects as the store has them now.
	List(ctx context.Context) (store.Batch[T], error)
	// Watch returns the changes after the revision, and waits for one for the time at most. The error has
	// the class store.ErrExpired when the store no longer has that history.
	Watch(ctx context.Context, from ident.Revision, wait time.Duration) (store.Batch[T], error)
}

// Poster hands events to control.
type Poster interface {
	Post(ctx context.Context, ev hub.Event) error
}

// Follower follows the objects of one kind.
type Follower[T any] struct {
	kind   hub.Kind
	source Source[T]
	event  func(store.Batch[T]) hub.Event
	poster Poster
	gate   *Gate
	on     *Switch
	clock  clockwork.Clock
	// pace is the time between news and the next call, so that changes in quick succession cost one.
	pace time.Duration
	lost bool
	done chan struct{}
}

// New returns a follower that has not started, and calls the store while the switch is on. event makes the event for
// control.
func New[T any](
	k hub.Kind, s Source[T], event func(store.Batch[T]) hub.Event, p Poster, g *Gate, on *Switch, clock clockwork.Clock, pace time.Duration,
) *Follower[T] {
	return &Follower[T]{kind: k, source: s, event: event, poster: p, gate: g, on: on, clock: clock, pace: pace, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (f *Follower[T]) Done() <-chan struct{} { return f.done }

// Run follows the objects until the context ends.
func (f *Follower[T]) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		on, stop := f.on.Wait(ctx)
		f.lost = false
		for on.Err() == nil {
			f.read(on, ctx)
		}
		stop()
	}
}

// read lists the objects, then follows their changes until that fails or the switch is turned off. What was read is
// posted also then, since the source counts it as known.
func (f *Follower[T]) read(on, ctx context.Context) {
	f.gate.Wait(on)
	b, err := f.source.List(on)
	if err != nil {
		f.failed(on, err)
		return
	}
	f.succeeded(ctx, b)
	f.follow(on, ctx, b.AsOf)
}

// follow waits for changes until a watch fails or the context ends. What a watch missed that was cut off is
// certain only from a new list.
func (f *Follower[T]) follow(on, ctx context.Context, from ident.Revision) {
	for on.Err() == nil {
		f.pause(on, f.pace)
		b, err := f.source.Watch(on, from, watchWait)
		switch {
		case store.ErrExpired.Has(err):
			return
		case err != nil:
			f.failed(on, err)
			return
		}
		from = b.AsOf
		f.succeeded(ctx, b)
	}
}

// succeeded hands news to control.
func (f *Follower[T]) succeeded(ctx context.Context, b store.Batch[T]) {
	f.gate.Succeeded()
	if f.lost {
		f.lost = false
		_ = f.poster.Post(ctx, hub.Regained{Kind: f.kind})
	}
	// Control has ended when it takes no more events.
	_ = f.poster.Post(ctx, f.event(b))
}

// failed tells control; the next call waits for the gate.
func (f *Follower[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.lost = true
	_ = f.poster.Post(ctx, hub.Lost{Kind: f.kind, Err: err})
	f.gate.Failed()
}

func (f *Follower[T]) pause(ctx context.Context, d time.Duration) {
	select {
	case <-f.clock.After(d):
	case <-ctx.Done():
	}
}
