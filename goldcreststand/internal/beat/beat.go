// Package beat sends heartbeats and responds to them on behalf of the control goroutine.
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

// maxConcurrentPings bounds the heartbeats that wait for a response, and the queued ones. Two probes per second
// with their indirect probes and relayed heartbeats need about 20 when a quarter of the instances does not
// respond.
const maxConcurrentPings = 64

// Error is the class of the errors of this package.
var Error = errs.Class("beat")

// Poster posts events to the control goroutine.
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

// Exchange is both the client and the server side of the ping method.
type Exchange struct {
	link    Link
	log     Log
	timeout time.Duration
	pool    *worker.Pool
	// leaveAnnounced is closed when the leave has been announced.
	leaveAnnounced chan struct{}
	announceOnce   sync.Once
	// posterSet is closed when poster is set.
	posterSet chan struct{}
	poster    Poster
}

// New returns an exchange that has not started. The timeout bounds each heartbeat.
func New(l Link, timeout time.Duration, log Log) *Exchange {
	return &Exchange{
		link: l, log: log, timeout: timeout,
		pool:           worker.New(maxConcurrentPings),
		leaveAnnounced: make(chan struct{}),
		posterSet:      make(chan struct{}),
	}
}

// Done is closed when Run and all its calls have returned.
func (x *Exchange) Done() <-chan struct{} { return x.pool.Done() }

// LeaveAnnounced returns a channel that is closed when other instances have been notified that this one
// leaves.
func (x *Exchange) LeaveAnnounced() <-chan struct{} { return x.leaveAnnounced }

// SendPing queues a heartbeat and does not block. It drops the heartbeat when the queue is full; control
// detects the missing response.
func (x *Exchange) SendPing(a ctrl.SendPing) {
	if !x.pool.TrySubmit(func(ctx context.Context) { x.send(ctx, a) }) {
		x.log.Debugf("queue is full; heartbeat to %s dropped", a.To)
	}
}

// HandleMemberAction logs changes of the membership and handles the completion of a leave.
func (x *Exchange) HandleMemberAction(a member.Action) {
	switch a := a.(type) {
	case member.RecordChanged:
		x.log.Infof("instance %s is %s, incarnation %d", a.Record.ID, a.Record.State, a.Record.Incarnation)
	case member.NameConflict:
		x.log.Warnf("another process with address %s uses the name %s", a.Record.Peer, a.Record.ID)
	case member.LeaveCompleted:
		x.announceOnce.Do(func() { close(x.leaveAnnounced) })
	}
}

// Run sends heartbeats until the context ends and posts their results to p.
func (x *Exchange) Run(ctx context.Context, p Poster) {
	x.poster = p
	close(x.posterSet)
	x.pool.Run(ctx)
}

func (x *Exchange) send(ctx context.Context, a ctrl.SendPing) {
	callCtx, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	msg := wire.FromPing(a.Ping)
	digest := a.Digest.String()
	msg.Held, msg.Digest = wire.FromRevisions(a.Revisions), &digest
	var ev ctrl.Event = ctrl.PingFailed{PingID: a.ID}
	pong, err := x.link.Ping(callCtx, a.To, msg)
	if err == nil {
		ev, err = pongEvent(a.ID, pong)
	}
	if err != nil {
		x.log.Debugf("heartbeat to %s failed: %v", a.To, err)
		ev = ctrl.PingFailed{PingID: a.ID}
	}
	// The post fails only when the control goroutine has ended.
	_ = x.poster.Post(ctx, ev)
}

func pongEvent(id member.PingID, pong *wire.Pong) (ctrl.Event, error) {
	gossip, err := parseDistGossip(pong.Held, pong.Digest)
	return ctrl.PongReceived{PingID: id, Pong: ctrl.Pong{Pong: pong.Core(), DistGossip: gossip}}, err
}

func parseDistGossip(revisions []wire.Held, digest *string) (ctrl.DistGossip, error) {
	out := ctrl.DistGossip{Revisions: wire.CoreRevisions(revisions)}
	if digest == nil {
		return out, Error.New("digest is missing")
	}
	var err error
	out.Digest, err = dist.ParseDigest(*digest)
	return out, Error.Wrap(err)
}

// Ping responds to a heartbeat with the reply of the control goroutine.
func (x *Exchange) Ping(ctx context.Context, p *wire.Ping) (*wire.Pong, error) {
	select {
	case <-x.posterSet:
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
	gossip, err := parseDistGossip(p.Held, p.Digest)
	if err != nil {
		return nil, err
	}
	reply := make(chan ctrl.Pong, 1)
	if err := x.poster.Post(ctx, ctrl.PingReceived{Ping: p.Core(), DistGossip: gossip, Reply: reply}); err != nil {
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

// MemberConfig returns the membership configuration with the seeds and times of the instance's settings.
func MemberConfig(seeds []netip.AddrPort, interval, suspect, dead ident.Duration) member.Config {
	cfg := member.DefaultConfig()
	cfg.Seeds = seeds
	cfg.ProbeInterval, cfg.SuspectTimeout, cfg.DeadTimeout = interval.Std(), suspect.Std(), dead.Std()
	return cfg
}
