// Package mesh implements the calls between instances: pings, reports of rollout counts, and polls for changes of
// the store.
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
	methodHang   = "hang"
	methodUsage  = "usage"
)

// maxCalls limits the concurrent calls to other instances, and the queued ones.
const maxCalls = 32

// Error is the class of the errors of this package.
var Error = errs.Class("mesh")

// Link calls other instances.
type Link interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Poster posts events to the control goroutine.
type Poster interface {
	Post(ctx context.Context, ev hub.Event) error
}

// Log receives state changes that concern other instances.
type Log interface {
	StateChange(msg string, fields logrus.Fields)
}

// Mesh is the client and the server of the methods between instances.
type Mesh struct {
	self      ring.Member
	link      Link
	poster    Poster
	excerpts  *excerptCache
	freshness FreshnessSource
	clock     clockwork.Clock
	log       Log
	pool      *worker.Pool
}

// New returns a mesh that has not started.
func New(self ring.Member, l Link, p Poster, f FreshnessSource, r Replicas, clock clockwork.Clock, log Log) *Mesh {
	return &Mesh{self: self, link: l, poster: p, excerpts: newExcerptCache(r), freshness: f, clock: clock, log: log, pool: worker.New(maxCalls)}
}

// Register adds the server side of the methods to the peer.
func (m *Mesh) Register(p *peer.Peer) {
	p.Register(methodAlive, peer.Method(m.handlePing))
	p.Register(methodCount, peer.Method(m.handleReport))
	p.Register(methodFollow, peer.Method(m.handlePoll))
	p.Register(methodHang, peer.Method(m.handleHang))
	p.Register(methodUsage, peer.Method(m.handleUsage))
}

// Run makes the queued calls until the context ends.
func (m *Mesh) Run(ctx context.Context) { m.pool.Run(ctx) }

// Done is closed when Run has returned.
func (m *Mesh) Done() <-chan struct{} { return m.pool.Done() }

// Ping pings a member and posts its reply.
func (m *Mesh) Ping(a hub.PingMember) {
	m.pool.TrySubmit(func(ctx context.Context) {
		var out wire.Alive
		if err := m.link.Call(ctx, a.To.Peer, methodAlive, m.pingMessage(), &out); err != nil {
			// The ring monitor detects members that do not reply.
			return
		}
		if out.Sender == a.To.ID {
			_ = m.poster.Post(ctx, hub.PongReceived{ID: a.To.ID})
		}
	})
}

// Report sends this instance's counts of a rollout to the member that decides about it.
func (m *Mesh) Report(a hub.SendReport) {
	m.pool.TrySubmit(func(ctx context.Context) {
		var out wire.Advice
		if err := m.link.Call(ctx, a.To.Peer, methodCount, wire.FromReport(m.self.ID, a.Report), &out); err != nil {
			m.log.StateChange("mesh: report failed", logrus.Fields{"member": a.To.ID, "service": a.Service, "error": err.Error()})
			return
		}
		if out.Bad {
			_ = m.poster.Post(ctx, hub.VersionRejected{Service: a.Service, Attempt: a.Report.Status.Attempt})
		}
	})
}

// ReportHang tells another instance that the store did not answer a watch of this one.
func (m *Mesh) ReportHang(a hub.ReportHang) {
	m.pool.TrySubmit(func(ctx context.Context) {
		var out wire.Alive
		if err := m.link.Call(ctx, a.To, methodHang, m.pingMessage(), &out); err != nil {
			m.log.StateChange("mesh: reporting a hung watch failed", logrus.Fields{"to": a.To.String(), "error": err.Error()})
		}
	})
}

// handleHang passes the report of another instance to the control goroutine.
func (m *Mesh) handleHang(ctx context.Context, r *wire.Alive) (*wire.Alive, error) {
	if err := m.poster.Post(ctx, hub.HangReported{Sender: r.Sender}); err != nil {
		return nil, Error.Wrap(err)
	}
	return m.pingMessage(), nil
}

// handlePing answers a ping and posts the sender's address, which an instance without a list of members can poll.
func (m *Mesh) handlePing(ctx context.Context, r *wire.Alive) (*wire.Alive, error) {
	if err := m.poster.Post(ctx, hub.PingReceived{Peer: r.Peer}); err != nil {
		return nil, Error.Wrap(err)
	}
	return m.pingMessage(), nil
}

// pingMessage returns the message that names this instance.
func (m *Mesh) pingMessage() *wire.Alive { return &wire.Alive{Sender: m.self.ID, Peer: m.self.Peer} }

// handleReport passes the counts of another instance to the control goroutine and replies with its decision.
func (m *Mesh) handleReport(ctx context.Context, r *wire.Report) (*wire.Advice, error) {
	report, err := r.Core()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	reply := make(chan bool, 1)
	if err := m.poster.Post(ctx, hub.ReportReceived{Sender: r.Sender, Service: r.Service, Report: report, Reply: reply}); err != nil {
		return nil, Error.Wrap(err)
	}
	select {
	case bad := <-reply:
		return &wire.Advice{Bad: bad}, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}
