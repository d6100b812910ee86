// Package mesh carries what the instances tell each other directly: that they live, the counts of the rollouts that
// run, and the news of the store.
package mesh

import (
	"context"
	"net/netip"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/ring"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/goldcreststand/internal/worker"
	"goldcreststand.example/schema/wire"
)

// Names of the methods.
const (
	methodAlive  = "alive"
	methodCount  = "count"
	methodFollow = "follow"
)

// callers bounds the calls of other instances at a time, and those that wait.
const callers = 32

// Error is the class of the errors of this package.
var Error = errs.Class("mesh")

// Link calls other instances.
type Link interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Poster hands events to control.
type Poster interface {
	Post(ctx context.Context, ev hub.Event) error
}

// Log takes the lines about other instances.
type Log interface {
	StateChange(msg string, fields logrus.Fields)
}

// Mesh is both ends of the methods between instances.
type Mesh struct {
	self     ring.Member
	link     Link
	poster   Poster
	excerpts *excerptCache
	control  Control
	clock    clockwork.Clock
	log      Log
	pool     *worker.Pool
}

// New returns a mesh that has not started.
func New(self ring.Member, l Link, p Poster, ctl Control, c Copies, clock clockwork.Clock, log Log) *Mesh {
	return &Mesh{self: self, link: l, poster: p, excerpts: newExcerptCache(c), control: ctl, clock: clock, log: log, pool: worker.New(callers)}
}

// Register adds the methods to the peer.
func (m *Mesh) Register(p *peer.Peer) {
	p.Register(methodAlive, peer.Method(m.alive))
	p.Register(methodCount, peer.Method(m.count))
	p.Register(methodFollow, peer.Method(m.follow))
}

// Run makes calls until the context ends.
func (m *Mesh) Run(ctx context.Context) { m.pool.Run(ctx) }

// Done is closed when Run has returned.
func (m *Mesh) Done() <-chan struct{} { return m.pool.Done() }

// Ping asks a member whether it lives, and posts that it does.
func (m *Mesh) Ping(a hub.Ping) {
	m.pool.TrySubmit(func(ctx context.Context) {
		var out wire.Alive
		if err := m.link.Call(ctx, a.To.Peer, methodAlive, m.wire(), &out); err != nil {
			// Control notices the silence.
			return
		}
		if out.Sender == a.To.ID {
			_ = m.poster.Post(ctx, hub.Pong{ID: a.To.ID})
		}
	})
}

// Report tells the member that decides about a rollout this instance's counts.
func (m *Mesh) Report(a hub.Report) {
	m.pool.TrySubmit(func(ctx context.Context) {
		var out wire.Advice
		if err := m.link.Call(ctx, a.To.Peer, methodCount, wire.FromReport(m.self.ID, a.Report), &out); err != nil {
			m.log.StateChange("mesh: report failed", logrus.Fields{"member": a.To.ID, "service": a.Service, "error": err.Error()})
			return
		}
		if out.Bad {
			_ = m.poster.Post(ctx, hub.Advised{Service: a.Service, Attempt: a.Report.Status.Attempt})
		}
	})
}

// alive answers a ping. An instance that does not know the members yet learns here of one that does.
func (m *Mesh) alive(ctx context.Context, r *wire.Alive) (*wire.Alive, error) {
	if err := m.poster.Post(ctx, hub.Met{Peer: r.Peer}); err != nil {
		return nil, Error.Wrap(err)
	}
	return m.wire(), nil
}

// wire returns the message that this instance lives.
func (m *Mesh) wire() *wire.Alive { return &wire.Alive{Sender: m.self.ID, Peer: m.self.Peer} }

func (m *Mesh) count(ctx context.Context, r *wire.Report) (*wire.Advice, error) {
	report, err := r.Core()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	reply := make(chan bool, 1)
	if err := m.poster.Post(ctx, hub.Reported{Sender: r.Sender, Service: r.Service, Report: report, Reply: reply}); err != nil {
		return nil, Error.Wrap(err)
	}
	select {
	case bad := <-reply:
		return &wire.Advice{Bad: bad}, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}
