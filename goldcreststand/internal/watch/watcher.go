// Package watch reads objects of the platform and posts what it sees to control.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// retryDelay is the time between two tries after a failed call of the platform.
const retryDelay = time.Second

// Poster hands events to control.
type Poster interface {
	Post(ctx context.Context, ev ctrl.Event) error
}

// Platform is the part of the platform's client that a Watcher uses.
type Platform interface {
	Watch(ctx context.Context, path string, tag plat.Tag, wait time.Duration, v any) (plat.Tag, bool, error)
}

// Log is the log of a Watcher.
type Log interface {
	Warnf(format string, args ...any)
}

// Watcher watches the catalogue of services and the services that control asks for.
type Watcher struct {
	platform Platform
	wait     time.Duration
	clock    clockwork.Clock
	log      Log
	wanted   chan []ident.ServiceName
	done     chan struct{}
}

// New returns a watcher that has not started.
func New(p Platform, wait time.Duration, clock clockwork.Clock, log Log) *Watcher {
	return &Watcher{
		platform: p,
		wait:     wait,
		clock:    clock,
		log:      log,
		wanted:   make(chan []ident.ServiceName, 1),
		done:     make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// SetServices asks for watches on exactly these services. It does not block: a newer set replaces one
// that waits. Only the control goroutine calls it.
func (w *Watcher) SetServices(names []ident.ServiceName) {
	select {
	case <-w.wanted:
	default:
	}
	w.wanted <- names
}

// Run watches until the context ends and posts to p.
func (w *Watcher) Run(ctx context.Context, p Poster) {
	defer close(w.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.watchCatalog(ctx, p) })
	running := make(map[ident.ServiceName]context.CancelFunc)
	for {
		select {
		case names := <-w.wanted:
			w.reconcile(ctx, p, &wg, running, names)
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) reconcile(ctx context.Context, p Poster, wg *sync.WaitGroup, running map[ident.ServiceName]context.CancelFunc, names []ident.ServiceName) {
	keep := make(map[ident.ServiceName]bool, len(names))
	for _, n := range names {
		keep[n] = true
		if _, ok := running[n]; ok {
			continue
		}
		sub, cancel := context.WithCancel(ctx)
		running[n] = cancel
		wg.Go(func() { w.watchTable(sub, p, n) })
		wg.Go(func() { w.watchListing(sub, p, n) })
	}
	for n, cancel := range running {
		if !keep[n] {
			cancel()
			delete(running, n)
		}
	}
}

func (w *Watcher) watchCatalog(ctx context.Context, p Poster) {
	poll(ctx, w, "/objects/tables", func(k *wire.Keys) ctrl.Event {
		names := make([]ident.ServiceName, len(k.Names))
		for i, n := range k.Names {
			names[i] = ident.ServiceName(n)
		}
		return ctrl.CatalogSeen{Services: names}
	}, p)
}

func (w *Watcher) watchTable(ctx context.Context, p Poster, n ident.ServiceName) {
	poll(ctx, w, plat.ObjectPath("tables", string(n)), func(t *wire.Table) ctrl.Event {
		return ctrl.TableSeen{Table: t.Core()}
	}, p)
}

func (w *Watcher) watchListing(ctx context.Context, p Poster, n ident.ServiceName) {
	poll(ctx, w, plat.InstancesPath(string(n)), func(l *wire.Listing) ctrl.Event {
		return ctrl.ListingSeen{Listing: l.Core()}
	}, p)
}

// poll posts an event for each new version of the value at the path, until the context ends.
func poll[T any](ctx context.Context, w *Watcher, path string, event func(*T) ctrl.Event, p Poster) {
	var tag plat.Tag
	for ctx.Err() == nil {
		v := new(T)
		next, changed, err := w.platform.Watch(ctx, path, tag, w.wait, v)
		if err != nil {
			w.pause(ctx, path, err)
			continue
		}
		if !changed {
			continue
		}
		tag = next
		if err := p.Post(ctx, event(v)); err != nil {
			return
		}
	}
}

func (w *Watcher) pause(ctx context.Context, path string, err error) {
	if ctx.Err() != nil {
		return
	}
	if !plat.ErrNotFound.Has(err) {
		w.log.Warnf("watch of %s failed: %v", path, err)
	}
	select {
	case <-w.clock.After(retryDelay):
	case <-ctx.Done():
	}
}
