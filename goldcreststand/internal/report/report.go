// Package report exchanges rollout reports and warm queries with the other instances that serve a service.
package report

import (
	"context"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/goldcreststand/internal/worker"
	"goldcreststand.example/schema/wire"
)

// Error is the class of the errors of this package.
var Error = errs.Class("report")

// maxConcurrentCalls bounds the concurrent calls to peers, and the queued calls.
const maxConcurrentCalls = 64

// Poster posts events to the control goroutine.
type Poster interface {
	Post(ctx context.Context, ev ctrl.Event) error
}

// Link calls other instances.
type Link interface {
	Report(ctx context.Context, to netip.AddrPort, r *wire.Report) error
	Warm(ctx context.Context, to netip.AddrPort, q *wire.Warmth) (*wire.Warmth, error)
}

// Log is the log of an Exchange.
type Log interface {
	Debugf(format string, args ...any)
}

// Exchange is both the client and the server side of the report and warm methods.
type Exchange struct {
	self   ident.InstanceID
	link   Link
	log    Log
	pool   *worker.Pool
	mu     sync.Mutex
	poster Poster
}

var _ peer.ReportHandler = (*Exchange)(nil)

// New returns an exchange that has not started.
func New(self ident.InstanceID, l Link, log Log) *Exchange {
	return &Exchange{self: self, link: l, log: log, pool: worker.New(maxConcurrentCalls)}
}

// Done is closed when Run and all its calls have returned.
func (x *Exchange) Done() <-chan struct{} { return x.pool.Done() }

// SendReport queues a report to each of its receivers and does not block. It drops reports when the queue is
// full: the next report includes their counts.
func (x *Exchange) SendReport(a ctrl.SendReport) {
	msg := wire.FromReport(a.Report.Sender, a.Report.Report)
	for _, to := range a.To {
		x.enqueue(func(ctx context.Context) {
			if err := x.link.Report(ctx, to, msg); err != nil {
				x.log.Debugf("report to %s failed: %v", to, err)
			}
		})
	}
}

// SendWarmQuery queues a warm query and does not block. Control repeats the query when there is no response.
func (x *Exchange) SendWarmQuery(a ctrl.SendWarmQuery) {
	x.enqueue(func(ctx context.Context) {
		got, err := x.link.Warm(ctx, a.To, wire.FromIncarnations(a.Service, a.Servers))
		if err != nil {
			x.log.Debugf("warm query to %s failed: %v", a.To, err)
			return
		}
		if len(got.Lives) > 0 {
			// Post fails only when the instance stops.
			_ = x.post(ctx, ctrl.WarmReplyReceived{Service: a.Service, Servers: got.Core()})
		}
	})
}

func (x *Exchange) enqueue(call func(context.Context)) {
	if !x.pool.TrySubmit(call) {
		x.log.Debugf("queue is full; call dropped")
	}
}

// Run makes calls until the context ends and posts the responses to p.
func (x *Exchange) Run(ctx context.Context, p Poster) {
	x.mu.Lock()
	x.poster = p
	x.mu.Unlock()
	x.pool.Run(ctx)
}

func (x *Exchange) post(ctx context.Context, ev ctrl.Event) error {
	x.mu.Lock()
	p := x.poster
	x.mu.Unlock()
	if p == nil {
		return Error.New("instance is starting")
	}
	return Error.Wrap(p.Post(ctx, ev))
}

// Report handles a report from another instance.
func (x *Exchange) Report(ctx context.Context, r *wire.Report) (*wire.Receipt, error) {
	core, err := r.Core()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := x.post(ctx, ctrl.ReportReceived{Report: ctrl.RolloutReport{Sender: r.Sender, Report: core}}); err != nil {
		return nil, err
	}
	return &wire.Receipt{Sender: x.self}, nil
}

// Warm responds to a warm query from the state of the control goroutine.
func (x *Exchange) Warm(ctx context.Context, q *wire.Warmth) (*wire.Warmth, error) {
	reply := make(chan []health.ServerIncarnation, 1)
	if err := x.post(ctx, ctrl.WarmQueryReceived{Service: q.Service, Servers: q.Core(), Reply: reply}); err != nil {
		return nil, err
	}
	select {
	case warm := <-reply:
		return wire.FromIncarnations(q.Service, warm), nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}
