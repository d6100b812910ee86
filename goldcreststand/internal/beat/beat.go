// Package beat sends and answers heartbeats for control.
package beat

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/worker"
	"goldcreststand.example/schema/wire"
)

// maxConcurrentPings bounds the heartbeats that wait for a response. Two probes a second, their indirect probes
// and relays for others need about 20 when a quarter of the instances does not respond.
const maxConcurrentPings = 64

// Error is the class of the errors of this package.
var Error = errs.Class("beat")

// Poster hands events to control.
type Poster interface {
	Post(ctx context.Context, ev ctrl.Event) error
}

// Link calls other instances.
type Link interface {
	Ping(ctx context.Context, to netip.AddrPort, p *wire.Ping) (*wire.Pong, error)
}

// Log is the log of an Exchange.
type Log interface {
	Debugf(format string, args ...any)
	Infof(format string, args ...any)
	Warnf(format string, args ...any)
}

// Exchange is both ends of the method ping.
type Exchange struct {
	link    Link
	log     Log
	timeout time.Duration
	pool    *worker.Pool
	// leaveAnnounced is closed when the leave was announced.
	leaveAnnounced chan struct{}
	announceOnce   sync.Once
	// ready is closed when poster is set.
	ready  chan struct{}
	poster Poster
}

// New returns an exchange that has not started. A heartbeat fails after the timeout.
func New(l Link, timeout time.Duration, log Log) *Exchange {
	return &Exchange{
		link: l, log: log, timeout: timeout,
		pool:           worker.New(maxConcurrentPings),
		leaveAnnounced: make(chan struct{}),
		ready:          make(chan struct{}),
	}
}

// Done is closed when Run and all its calls have returned.
func (x *Exchange) Done() <-chan struct{} { return x.pool.Done() }

// LeaveAnnounced is closed when other instances have been told that this one leaves.
func (x *Exchange) LeaveAnnounced() <-chan struct{} { return x.leaveAnnounced }

// Do queues a heartbeat and does not block. A heartbeat for which the queue has no room is left out;
// control notices that no response came.
func (x *Exchange) Do(a ctrl.SendPing) {
	if !x.pool.TrySubmit(func(ctx context.Context) { x.send(ctx, a) }) {
		x.log.Debugf("queue is full; heartbeat to %s left out", a.To)
	}
}

// Note logs what the membership reports.
func (x *Exchange) Note(a member.Action) {
	switch a := a.(type) {
	case member.RecordChanged:
		x.log.Infof("instance %s is %s, incarnation %d", a.Record.ID, a.Record.State, a.Record.Incarnation)
	case member.NameConflict:
		x.log.Warnf("another process with address %s uses the name %s", a.Record.Peer, a.Record.ID)
	case member.LeaveCompleted:
		x.announceOnce.Do(func() { close(x.leaveAnnounced) })
	}
}

// Run sends heartbeats until the context ends and posts to p.
func (x *Exchange) Run(ctx context.Context, p Poster) {
	x.poster = p
	close(x.ready)
	x.pool.Run(ctx)
}

func (x *Exchange) send(ctx context.Context, a ctrl.SendPing) {
	call, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	msg := wire.FromPing(a.Ping)
	digest := a.Digest.String()
	msg.Held, msg.Digest = wire.FromRevisions(a.Revisions), &digest
	var ev ctrl.Event = ctrl.PingFailed{PingID: a.ID}
	pong, err := x.link.Ping(call, a.To, msg)
	if err == nil {
		ev, err = seen(a.ID, pong)
	}
	if err != nil {
		x.log.Debugf("heartbeat to %s failed: %v", a.To, err)
		ev = ctrl.PingFailed{PingID: a.ID}
	}
	// The post fails only when control has ended.
	_ = x.poster.Post(ctx, ev)
}

func seen(e member.PingID, pong *wire.Pong) (ctrl.Event, error) {
	r, err := rider(pong.Held, pong.Digest)
	return ctrl.PongReceived{PingID: e, Pong: ctrl.Pong{Pong: pong.Core(), DistGossip: r}}, err
}

func rider(held []wire.Held, digest *string) (ctrl.DistGossip, error) {
	out := ctrl.DistGossip{Revisions: wire.CoreRevisions(held)}
	if digest == nil {
		return out, Error.New("digest is missing")
	}
	var err error
	out.Digest, err = dist.ParseDigest(*digest)
	return out, Error.Wrap(err)
}

// Ping answers a heartbeat with what control says.
func (x *Exchange) Ping(ctx context.Context, p *wire.Ping) (*wire.Pong, error) {
	select {
	case <-x.ready:
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
	r, err := rider(p.Held, p.Digest)
	if err != nil {
		return nil, err
	}
	reply := make(chan ctrl.Pong, 1)
	if err := x.poster.Post(ctx, ctrl.PingReceived{Ping: p.Core(), DistGossip: r, Reply: reply}); err != nil {
		return nil, Error.Wrap(err)
	}
	select {
	case pong := <-reply:
		out, digest := wire.FromPong(pong.Pong), pong.Digest.String()
		out.Held, out.Digest = wire.FromRevisions(pong.Revisions), &digest
		return out, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// Config returns the membership's settings for the times of an instance.
func Config(seeds []netip.AddrPort, interval, suspect, dead ident.Duration) member.Config {
	cfg := member.DefaultConfig()
	cfg.Seeds = seeds
	cfg.ProbeInterval, cfg.SuspectTimeout, cfg.DeadTimeout = interval.Std(), suspect.Std(), dead.Std()
	return cfg
}
