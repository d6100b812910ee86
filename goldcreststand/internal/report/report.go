// Package report exchanges rollout reports and questions about warm backend servers with the other
// instances that serve a service.
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

// concurrency bounds the calls of peers at a time, and the calls that wait.
const concurrency = 64

// Poster hands events to control.
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

// Exchange is both ends of the methods report and warm.
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
	return &Exchange{self: self, link: l, log: log, pool: worker.New(concurrency)}
}

// Done is closed when Run and all its calls have returned.
func (x *Exchange) Done() <-chan struct{} { return x.pool.Done() }

// Send queues a report to each of its receivers and does not block. A report that finds the queue full is
// left out: the next one carries the same counts and more.
func (x *Exchange) Send(a ctrl.SendReport) {
	msg := wire.FromReport(a.Report.Sender, a.Report.Report)
	for _, to := range a.To {
		x.enqueue(func(ctx context.Context) {
			if err := x.link.Report(ctx, to, msg); err != nil {
				x.log.Debugf("report to %s failed: %v", to, err)
			}
		})
	}
}

// Ask queues a question and does not block. Control asks again when there is no response.
func (x *Exchange) Ask(a ctrl.SendWarmQuery) {
	x.enqueue(func(ctx context.Context) {
		got, err := x.link.Warm(ctx, a.To, wire.FromIncarnations(a.Service, a.Servers))
		if err != nil {
			x.log.Debugf("question to %s failed: %v", a.To, err)
			return
		}
		if len(got.Lives) > 0 {
			// Posting fails only when the instance stops.
			_ = x.post(ctx, ctrl.WarmReplyReceived{Service: a.Service, Servers: got.Core()})
		}
	})
}

func (x *Exchange) enqueue(call func(context.Context)) {
	if !x.pool.TrySubmit(call) {
		x.log.Debugf("queue is full; a call was left out")
	}
}

// Run makes calls until the context ends and posts to p.
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

// Report takes a peer's report.
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

// Warm answers a peer from control's state.
func (x *Exchange) Warm(ctx context.Context, q *wire.Warmth) (*wire.Warmth, error) {
	reply := make(chan []health.ServerIncarnation, 1)
	if err := x.post(ctx, ctrl.WarmQueryReceived{Service: q.Service, Servers: q.Core(), Reply: reply}); err != nil {
		return nil, err
	}
	select {
	case lives := <-reply:
		return wire.FromIncarnations(q.Service, lives), nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}
