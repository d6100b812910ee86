package fetch_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/table"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/fetch"
	"goldcreststand.example/goldcreststand/internal/peer"
	"goldcreststand.example/schema/wire"
)

// Guards against calls that outlive Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type discard struct{}

func (discard) Debugf(string, ...any) {}
func (discard) Warnf(string, ...any)  {}

// fakeControl answers requests with a fixed reply and records other events.
type fakeControl struct {
	reply    dist.Reply
	requests chan ctrl.FetchReceived
	events   chan dist.Event
}

func (c *fakeControl) Post(_ context.Context, ev ctrl.Event) error {
	switch ev := ev.(type) {
	case ctrl.FetchReceived:
		c.requests <- ev
		ev.Reply <- c.reply
	case ctrl.DistEvent:
		c.events <- ev.Event
	}
	return nil
}

func start(t *testing.T, id ident.InstanceID, reply dist.Reply) (*fetch.Exchange, *fakeControl, netip.AddrPort) {
	t.Helper()
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := peer.New(clockwork.NewRealClock(), discard{})
	x := fetch.New(id, p, discard{})
	p.ServeFetch(x)
	c := &fakeControl{reply: reply, requests: make(chan ctrl.FetchReceived, 4), events: make(chan dist.Event, 4)}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = p.Run(ctx, sock) }()
	go x.Run(ctx, c)
	t.Cleanup(func() {
		cancel()
		<-x.Done()
		<-p.Done()
	})
	return x, c, netip.MustParseAddrPort(sock.Addr().String())
}

// Guards against parts of a request or reply that are lost in transit between two instances.
func TestRequestAndReplyArrive(t *testing.T) {
	reply := dist.Reply{
		Objects: []dist.Object{
			dist.FromTable(&table.Table{Service: "a", Revision: 3, Edit: "e", Author: "x", Rows: []table.Row{}, Removed: []table.Removal{}}),
			dist.FromStatus(&table.RolloutStatus{Service: "a", Attempt: 2, Outcome: table.OutcomeReverted, Stage: 4, Reason: "slow"}),
			dist.FromServerList(&roster.ServerList{Service: "a", Revision: 9, Servers: []roster.Server{}}),
		},
		Revisions: []dist.ObjectRevision{{Key: dist.TableKey("b"), Revision: 1}, {Key: dist.ReachabilityKey("i9"), Revision: 5}},
	}
	request := dist.Request{
		Wanted:    []dist.ObjectRevision{{Key: dist.TableKey("a"), Revision: 2}},
		Announced: []dist.ObjectRevision{{Key: dist.StatusKey("a"), Revision: 7}},
		Buckets:   []dist.Digest{0, 1 << 63},
	}
	x, c, _ := start(t, "i1", dist.Reply{})
	_, other, to := start(t, "i2", reply)
	x.Do(ctrl.SendFetch{Address: to, Call: dist.CallPeer{To: "i2", Call: 5, Request: request}})
	received := <-other.requests
	require.Equal(t, ident.InstanceID("i1"), received.From)
	require.Equal(t, request, received.Request)
	require.Equal(t, dist.ReplyReceived{From: "i2", Call: 5, Reply: reply}, <-c.events)
}

// Guards against a failed call whose result is not posted, and against passing a request with an invalid digest
// to the control goroutine.
func TestFailedCallIsReported(t *testing.T) {
	x, c, _ := start(t, "i1", dist.Reply{})
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, sock.Close())
	x.Do(ctrl.SendFetch{Address: netip.MustParseAddrPort(sock.Addr().String()), Call: dist.CallPeer{To: "i2", Call: 6}})
	require.Equal(t, dist.PeerCallFailed{Call: 6}, <-c.events)
	_, err = x.Fetch(t.Context(), &wire.Fetch{Sender: "i2", Buckets: []string{"not hex"}})
	require.ErrorContains(t, err, "hexadecimal")
	require.Empty(t, c.requests)
}
