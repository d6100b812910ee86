package mesh_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/table"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/mesh"
	"goldcreststand.example/goldcreststand/internal/peer"
)

type noLog struct{}

func (noLog) StateChange(string, logrus.Fields) {}
func (noLog) Debugf(string, ...any)             {}
func (noLog) Warnf(string, ...any)              {}

// patience is the time after which a question has failed.
const patience = 5 * time.Second

// copies holds one kind at a revision; what it imports becomes a list of members.
type copies struct {
	mu    sync.Mutex
	known ident.Revision
	next  chan struct{}
}

func (c *copies) Known(hub.Kind) ident.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
}

func (c *copies) Next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// advance makes the objects newer.
func (c *copies) advance(to ident.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = to
	close(c.next)
	c.next = make(chan struct{})
}

func (c *copies) Export(_ hub.Kind, from ident.Revision) (json.RawMessage, ident.Revision, error) {
	return json.RawMessage(strconv.FormatUint(uint64(from), 10)), c.Known(hub.KindMembers), nil
}

func (c *copies) Import(k hub.Kind, raw json.RawMessage) (hub.Event, error) {
	if k != hub.KindMembers {
		return nil, errors.New("other kind")
	}
	from, err := strconv.ParseUint(string(raw), 10, 64)
	return hub.Members{Batch: store.Batch[ring.Member]{AsOf: ident.Revision(from)}}, err
}

// instance is one end of the link.
type instance struct {
	member ring.Member
	mesh   *mesh.Mesh
	copies *copies
	events chan hub.Event
}

// Freshness returns what the instance reports of itself.
func (i *instance) Freshness() hub.Freshness {
	return hub.Freshness{Age: 70 * time.Millisecond, Grace: 900 * time.Millisecond}
}

// Post keeps the event, and answers a report as the instance that decides would.
func (i *instance) Post(_ context.Context, ev hub.Event) error {
	if r, ok := ev.(hub.Reported); ok {
		r.Reply <- true
	}
	i.events <- ev
	return nil
}

// next returns the next event of type T.
func next[T hub.Event](t *testing.T, i *instance) T {
	for {
		select {
		case ev := <-i.events:
			if v, ok := ev.(T); ok {
				return v
			}
		case <-time.After(5 * time.Second):
			require.FailNow(t, "no such event")
		}
	}
}

func newInstance(t *testing.T, id ident.InstanceID, known ident.Revision) *instance {
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	i := &instance{member: ring.Member{ID: id, Peer: netip.MustParseAddrPort(sock.Addr().String())}, events: make(chan hub.Event, 128)}
	p := peer.New(clockwork.NewRealClock(), noLog{})
	i.copies = &copies{known: known, next: make(chan struct{})}
	i.mesh = mesh.New(i.member, p, i, i, i.copies, clockwork.NewRealClock(), noLog{})
	i.mesh.Register(p)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = p.Run(ctx, sock) }()
	go i.mesh.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-p.Done()
		<-i.mesh.Done()
	})
	return i
}

// Guards against a live member that seems dead, and an instance that does not learn who pinged it.
func TestPing(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	a.mesh.Ping(hub.Ping{To: b.member})
	require.Equal(t, hub.Pong{ID: "b"}, next[hub.Pong](t, a))
	require.Equal(t, hub.Met{Peer: a.member.Peer}, next[hub.Met](t, b))
}

// Guards against an address that another instance has taken over: its reply is not that of the member.
func TestPingOfAnotherInstance(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	former := b.member
	former.ID = "c"
	a.mesh.Ping(hub.Ping{To: former})
	next[hub.Met](t, b)
	a.mesh.Ping(hub.Ping{To: b.member})
	require.Equal(t, hub.Pong{ID: "b"}, next[hub.Pong](t, a))
}

// Guards against counts that do not reach the instance that decides, and a verdict that does not come back.
func TestReport(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	r := canary.Report{
		Status:   table.RolloutStatus{Service: "one", Attempt: 4},
		Counts:   []canary.CallCounts{{Version: "trial", Route: "r", Calls: 7, Failures: 3, Timed: 4, Slow: 1}},
		BadCalls: []canary.ServerBadCalls{},
	}
	a.mesh.Report(hub.Report{To: b.member, Service: "one", Report: r})
	got := next[hub.Reported](t, b)
	require.Equal(t, ident.InstanceID("a"), got.Sender)
	require.Equal(t, r, got.Report)
	require.Equal(t, hub.Advised{Service: "one", Attempt: 4}, next[hub.Advised](t, a))
}

// Guards against news of what the asking instance knows already, and against news without its source's freshness.
func TestFollow(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 9)
	a.mesh.Follow(hub.Follow{To: b.member.Peer, Known: map[hub.Kind]ident.Revision{hub.KindConfig: 9, hub.KindServers: 10, hub.KindMembers: 8}, Timeout: patience})
	require.Equal(t, hub.Followed{
		From: b.member.Peer, Freshness: b.Freshness(), News: []hub.Event{hub.Members{Batch: store.Batch[ring.Member]{AsOf: 8}}},
	}, next[hub.Followed](t, a))
}

// Guards against news that waits until the next question, and against questions without an end when there is none.
func TestFollowWaitsForNews(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 3)
	ask := hub.Follow{To: b.member.Peer, Known: map[hub.Kind]ident.Revision{hub.KindMembers: 3}, Wait: 50 * time.Millisecond, Timeout: patience}
	a.mesh.Follow(ask)
	require.Empty(t, next[hub.Followed](t, a).News)
	ask.Wait = 500 * time.Millisecond
	a.mesh.Follow(ask)
	b.copies.advance(4)
	require.Len(t, next[hub.Followed](t, a).News, 1)
}

// Guards against a question whose end is not posted, after which control would ask nobody.
func TestFollowTellsOfFailures(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 9)
	a.mesh.Follow(hub.Follow{To: b.member.Peer, Known: map[hub.Kind]ident.Revision{hub.KindConfig: 8}, Timeout: patience})
	require.ErrorContains(t, next[hub.Followed](t, a).Err, "other kind")
	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	for range 100 {
		a.mesh.Follow(hub.Follow{To: nobody, Timeout: patience})
	}
	for range 100 {
		require.Error(t, next[hub.Followed](t, a).Err)
	}
}
