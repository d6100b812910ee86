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
	"goldcreststand.example/core/relay"
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

// pollTimeout is the time after which a poll has failed.
const pollTimeout = 5 * time.Second

// at returns the position of a revision in a store that has no eras.
func at(rev ident.Revision) store.Position { return store.Position{Revision: rev} }

// fakeReplicas holds one kind at a revision. It imports any excerpt as a list of members.
type fakeReplicas struct {
	mu    sync.Mutex
	known store.Position
	next  chan struct{}
	// exports counts the exports.
	exports int
}

func (r *fakeReplicas) ChangedAt(hub.Kind) store.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

func (r *fakeReplicas) NextChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// advance raises the revision and signals a change.
func (r *fakeReplicas) advance(to ident.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = at(to)
	close(r.next)
	r.next = make(chan struct{})
}

func (r *fakeReplicas) Export(_ hub.Kind, from store.Position) (json.RawMessage, store.Position, error) {
	r.mu.Lock()
	r.exports++
	r.mu.Unlock()
	return json.RawMessage(strconv.FormatUint(uint64(from.Revision), 10)), r.ChangedAt(hub.KindMembers), nil
}

func (r *fakeReplicas) Import(k hub.Kind, raw json.RawMessage) (hub.Event, error) {
	if k != hub.KindMembers {
		return nil, errors.New("other kind")
	}
	from, err := strconv.ParseUint(string(raw), 10, 64)
	return hub.MembersUpdate{Batch: store.Batch[ring.Member]{AsOf: at(ident.Revision(from))}}, err
}

// instance is one side of the calls.
type instance struct {
	member   ring.Member
	mesh     *mesh.Mesh
	replicas *fakeReplicas
	events   chan hub.Event
}

// Freshness returns the freshness that the instance reports.
func (i *instance) Freshness() hub.Freshness {
	return hub.Freshness{
		Copy: relay.Copy{Age: 70 * time.Millisecond, Watched: 90 * time.Millisecond}, Grace: 900 * time.Millisecond,
	}
}

// Post records the event, and answers a report as the deciding instance does.
func (i *instance) Post(_ context.Context, ev hub.Event) error {
	if r, ok := ev.(hub.ReportReceived); ok {
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
	i.replicas = &fakeReplicas{known: at(known), next: make(chan struct{})}
	i.mesh = mesh.New(i.member, p, i, i, i.replicas, clockwork.NewRealClock(), noLog{})
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

// Guards against a running member that is considered dead, and an instance that does not learn which instance
// pinged it.
func TestPing(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	a.mesh.Ping(hub.PingMember{To: b.member})
	require.Equal(t, hub.PongReceived{ID: "b"}, next[hub.PongReceived](t, a))
	require.Equal(t, hub.PingReceived{Peer: a.member.Peer}, next[hub.PingReceived](t, b))
}

// Guards against counting a ping reply from another instance that took over the member's address.
func TestPingOfAnotherInstance(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	former := b.member
	former.ID = "c"
	a.mesh.Ping(hub.PingMember{To: former})
	next[hub.PingReceived](t, b)
	a.mesh.Ping(hub.PingMember{To: b.member})
	require.Equal(t, hub.PongReceived{ID: "b"}, next[hub.PongReceived](t, a))
}

// Guards against an instance that does not learn that the store did not answer a watch of another one.
func TestHangIsReported(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	a.mesh.ReportHang(hub.ReportHang{To: b.member.Peer})
	require.Equal(t, hub.HangReported{Sender: "a"}, next[hub.HangReported](t, b))
}

// Guards against counts that do not reach the deciding instance, and a decision that is not returned.
func TestReport(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	r := canary.Report{
		Status:   table.RolloutStatus{Service: "one", Attempt: 4},
		Counts:   []canary.CallCounts{{Version: "trial", Route: "r", Calls: 7, Failures: 3, Timed: 4, Slow: 1}},
		BadCalls: []canary.ServerBadCalls{},
	}
	a.mesh.Report(hub.SendReport{To: b.member, Service: "one", Report: r})
	got := next[hub.ReportReceived](t, b)
	require.Equal(t, ident.InstanceID("a"), got.Sender)
	require.Equal(t, r, got.Report)
	require.Equal(t, hub.VersionRejected{Service: "one", Attempt: 4}, next[hub.VersionRejected](t, a))
}

// Guards against sending changes that the polling instance already has, and against changes without the freshness
// of their source.
func TestPoll(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 9)
	a.mesh.Poll(hub.PollPeer{To: b.member.Peer, Known: map[hub.Kind]store.Position{hub.KindConfig: at(9), hub.KindServers: at(10), hub.KindMembers: at(8)}, Timeout: pollTimeout})
	require.Equal(t, hub.PollCompleted{
		From: b.member.Peer, Freshness: b.Freshness(), Updates: []hub.Event{hub.MembersUpdate{Batch: store.Batch[ring.Member]{AsOf: at(8)}}},
	}, next[hub.PollCompleted](t, a))
}

// Guards against changes that are delayed until the next poll, and against polls that do not end when there is no
// change.
func TestPollWaitsForChanges(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 3)
	poll := hub.PollPeer{To: b.member.Peer, Known: map[hub.Kind]store.Position{hub.KindMembers: at(3)}, Wait: 50 * time.Millisecond, Timeout: pollTimeout}
	a.mesh.Poll(poll)
	require.Empty(t, next[hub.PollCompleted](t, a).Updates)
	poll.Wait = 500 * time.Millisecond
	a.mesh.Poll(poll)
	b.replicas.advance(4)
	require.Len(t, next[hub.PollCompleted](t, a).Updates, 1)
}

// Guards against a poll whose result is not posted, after which the control goroutine would not poll again.
func TestPollReportsFailures(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 9)
	a.mesh.Poll(hub.PollPeer{To: b.member.Peer, Known: map[hub.Kind]store.Position{hub.KindConfig: at(8)}, Timeout: pollTimeout})
	require.ErrorContains(t, next[hub.PollCompleted](t, a).Err, "other kind")
	nobody := netip.MustParseAddrPort("127.0.0.1:1")
	for range 100 {
		a.mesh.Poll(hub.PollPeer{To: nobody, Timeout: pollTimeout})
	}
	for range 100 {
		require.Error(t, next[hub.PollCompleted](t, a).Err)
	}
}

// Guards against an instance that is out of date and is not told that one which polls it watches the store with success, and
// against an event for each poll of the others.
func TestPollOffersTheCopy(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 9)
	known := map[hub.Kind]store.Position{hub.KindMembers: at(9)}
	for _, age := range []time.Duration{time.Minute, 200 * time.Millisecond} {
		a.mesh.Poll(hub.PollPeer{To: b.member.Peer, Known: known, Timeout: pollTimeout, Watched: age})
		require.NoError(t, next[hub.PollCompleted](t, a).Err)
	}
	require.Equal(t, hub.CopyOffered{Sender: "a", Watched: 200 * time.Millisecond}, <-b.events)
	require.Empty(t, b.events)
}

// Guards against changes that are encoded again for each poll, because the instances that ask for them have different revisions,
// and against an outdated excerpt.
func TestExcerptsAreEncodedOnce(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 9)
	polls := func() {
		for range 3 {
			for from := range ident.Revision(3) {
				a.mesh.Poll(hub.PollPeer{To: b.member.Peer, Known: map[hub.Kind]store.Position{hub.KindMembers: at(from)}, Timeout: pollTimeout})
				require.Equal(t, []hub.Event{hub.MembersUpdate{Batch: store.Batch[ring.Member]{AsOf: at(from)}}}, next[hub.PollCompleted](t, a).Updates)
			}
		}
	}
	polls()
	require.Equal(t, 3, b.replicas.exports)
	b.replicas.advance(10)
	polls()
	require.Equal(t, 6, b.replicas.exports)
}

// Guards against changes that an instance does not pass on, because the sender of the poll knows a larger revision from before the store's
// return to an older copy.
func TestPollAcrossReturnOfStore(t *testing.T) {
	a, b := newInstance(t, "a", 0), newInstance(t, "b", 0)
	b.replicas.known = store.Position{Era: 2, Revision: 8}
	poll := hub.PollPeer{To: b.member.Peer, Timeout: pollTimeout, Known: map[hub.Kind]store.Position{hub.KindMembers: {Era: 1, Revision: 9}}}
	a.mesh.Poll(poll)
	require.Len(t, next[hub.PollCompleted](t, a).Updates, 1)
	poll.Known[hub.KindMembers] = store.Position{Era: 2, Revision: 8}
	a.mesh.Poll(poll)
	require.Empty(t, next[hub.PollCompleted](t, a).Updates)
}
