// Package fetch exchanges routing tables, server lists and rollout statuses with other instances. It makes the
// calls that the control goroutine requests, and answers calls of other instances from its state.
package fetch

import (
	"context"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/worker"
	"goldcreststand.example/schema/wire"
)

// Error is the class of the errors of this package.
var Error = errs.Class("fetch")

// maxCalls limits the concurrent calls to other instances, and the queued ones. A further call is dropped, and the
// control goroutine retries it when no reply arrives.
const maxCalls = 64

// Poster posts events to the control goroutine.
type Poster interface {
	Post(ctx context.Context, ev ctrl.Event) error
}

// Link calls other instances.
type Link interface {
	Fetch(ctx context.Context, to netip.AddrPort, f *wire.Fetch) (*wire.Fetched, error)
}

// Log receives the debug messages of an Exchange.
type Log interface {
	Debugf(format string, args ...any)
}

// Exchange is the client and the server of the method fetch.
type Exchange struct {
	self   ident.InstanceID
	link   Link
	log    Log
	pool   *worker.Pool
	mu     sync.Mutex
	poster Poster
}

// New returns an exchange that has not started.
func New(self ident.InstanceID, l Link, log Log) *Exchange {
	return &Exchange{self: self, link: l, log: log, pool: worker.New(maxCalls)}
}

// Done is closed when Run and all its calls have returned.
func (x *Exchange) Done() <-chan struct{} { return x.pool.Done() }

// Do queues a call without blocking. When the queue is full, the call is dropped; the control goroutine handles
// the missing reply.
func (x *Exchange) Do(a ctrl.SendFetch) {
	queued := x.pool.TrySubmit(func(ctx context.Context) {
		// Post fails only when the instance stops.
		_ = x.currentPoster().Post(ctx, ctrl.DistEvent{Event: x.call(ctx, a)})
	})
	if !queued {
		x.log.Debugf("queue is full; call to %s dropped", a.Call.To)
	}
}

// Run makes the queued calls until the context ends and posts their results to p.
func (x *Exchange) Run(ctx context.Context, p Poster) {
	x.mu.Lock()
	x.poster = p
	x.mu.Unlock()
	x.pool.Run(ctx)
}

// currentPoster returns the receiver of events, or nil before Run.
func (x *Exchange) currentPoster() Poster {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.poster
}

func (x *Exchange) call(ctx context.Context, a ctrl.SendFetch) dist.Event {
	got, err := x.link.Fetch(ctx, a.Address, wire.FromRequest(x.self, a.Call.Request))
	if err == nil {
		var r dist.Reply
		if r, err = got.Core(); err == nil {
			return dist.ReplyReceived{From: a.Call.To, Call: a.Call.Call, Reply: r}
		}
	}
	x.log.Debugf("call to %s failed: %v", a.Call.To, err)
	return dist.PeerCallFailed{Call: a.Call.Call}
}

// Fetch answers the call of another instance from the state of the control goroutine.
func (x *Exchange) Fetch(ctx context.Context, f *wire.Fetch) (*wire.Fetched, error) {
	r, err := f.Core()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := x.currentPoster()
	if p == nil {
		return nil, Error.New("instance is starting")
	}
	reply := make(chan dist.Reply, 1)
	if err := p.Post(ctx, ctrl.FetchReceived{From: f.Sender, Request: r, Reply: reply}); err != nil {
		return nil, Error.Wrap(err)
	}
	select {
	case out := <-reply:
		return wire.FromReply(out), nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}
