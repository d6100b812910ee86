package beat_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
	"goldcreststand.example/goldcreststand/internal/beat"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/lib/boot"
	"goldcreststand.example/schema/wire"
)

// Guards against goroutines that outlive Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type discardLog struct{}

func (discardLog) Debugf(string, ...any) {}
func (discardLog) Infof(string, ...any)  {}
func (discardLog) Warnf(string, ...any)  {}

type executor struct{ x *beat.Exchange }

func (e *executor) Do(a ctrl.Action) {
	switch a := a.(type) {
	case ctrl.SendPing:
		e.x.SendPing(a)
	case member.Action:
		e.x.HandleMemberAction(a)
	}
}

type instance struct {
	loop *ctrl.Loop
	x    *beat.Exchange
	link *peer.Peer
}

// startInstance runs control, heartbeats and the peer connections of an instance until the test ends.
func startInstance(t *testing.T, id ident.InstanceID, sock net.Listener, seeds ...netip.AddrPort) *instance {
	t.Helper()
	clock := clockwork.NewRealClock()
	in := &instance{link: peer.New(clock, discardLog{})}
	in.x = beat.New(in.link, 100*time.Millisecond, discardLog{})
	in.link.ServePing(in.x)
	ms := ident.Duration(time.Millisecond)
	in.loop = ctrl.New(ctrl.Self{
		ID: id, Domain: "d", Region: "r", Traffic: addr(sock), Peer: addr(sock), Start: clock.Now(), InstancesPerService: 4,
		Member: beat.MemberConfig(seeds, 50*ms, 100*ms, 300*ms), Dist: dist.DefaultConfig(4),
	}, clock, boot.Clock{}, &executor{x: in.x})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = in.link.Run(ctx, sock) }()
	go in.loop.Run(ctx)
	go in.x.Run(ctx, in.loop)
	t.Cleanup(func() {
		cancel()
		<-in.link.Done()
		<-in.loop.Done()
		<-in.x.Done()
	})
	return in
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return sock
}

func addr(sock net.Listener) netip.AddrPort { return netip.MustParseAddrPort(sock.Addr().String()) }

func (in *instance) hasMember(id ident.InstanceID, s member.State) func() bool {
	return func() bool {
		for _, r := range in.loop.Members() {
			if r.ID == id {
				return r.State == s
			}
		}
		return false
	}
}

// Guards against instances that do not find each other over TCP, or do not learn of a leave.
func TestInstancesJoinAndLeave(t *testing.T) {
	a, b, c := listen(t), listen(t), listen(t)
	x := startInstance(t, "a", a, addr(a))
	y := startInstance(t, "b", b, addr(a))
	z := startInstance(t, "c", c, addr(a))
	within := func(ok func() bool) { require.Eventually(t, ok, 10*time.Second, 10*time.Millisecond) }
	within(z.hasMember("b", member.StateAlive))
	within(y.hasMember("c", member.StateAlive))
	within(x.hasMember("c", member.StateAlive))
	require.NoError(t, y.loop.Post(t.Context(), ctrl.LeaveRequested{}))
	select {
	case <-y.x.LeaveAnnounced():
	case <-time.After(10 * time.Second):
		require.Fail(t, "leave was not announced")
	}
	within(x.hasMember("b", member.StateLeft))
	within(z.hasMember("b", member.StateLeft))
}

// Guards against accepting a heartbeat without a digest, which would make this instance compare its objects
// with every other instance.
func TestPingNeedsDigest(t *testing.T) {
	sock := listen(t)
	in := startInstance(t, "a", sock)
	_, err := in.x.Ping(t.Context(), &wire.Ping{Sender: "b", Incarnation: 1})
	require.ErrorContains(t, err, "digest is missing")
	bad := "xyz"
	_, err = in.x.Ping(t.Context(), &wire.Ping{Sender: "b", Incarnation: 1, Digest: &bad})
	require.Error(t, err)
}
