package ctrl

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
)

func peerRecord(i int) member.Record {
	return member.Record{
		ID: ident.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 5, Domain: ident.DomainName(fmt.Sprintf("d%d", i)), Region: "r",
		Traffic: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(100+i)),
		Peer:    netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(200+i)),
	}
}

// grown returns the state of instance 0, which has heard of the others.
func grown(n int) *state {
	self := peerRecord(0)
	st := newState(Self{
		ID: self.ID, Domain: self.Domain, Region: self.Region, Traffic: self.Traffic, Peer: self.Peer,
		Start: time.Unix(1e6, 0), Count: 4, Dist: dist.DefaultConfig(4),
	})
	st.now = time.Unix(1e6, 0)
	for i := 1; i < n; i++ {
		heard(st, peerRecord(i))
	}
	return st
}

func heard(st *state, r member.Record) (Pong, []Action) {
	reply := make(chan Pong, 1)
	actions := PingSeen{Ping: member.Ping{Sender: r.ID, Incarnation: r.Incarnation, Members: []member.Record{r}}, Reply: reply}.apply(st)
	select {
	case p := <-reply:
		return p, actions
	default:
		return Pong{}, actions
	}
}

// Guards against members that do not become nodes of the placement, and against dead ones that stay.
func TestMembersDecideNodes(t *testing.T) {
	st := grown(4)
	require.Len(t, st.nodes, 4)
	require.Equal(t, peerRecord(2).Traffic, st.addresses["i2"])
	require.Equal(t, peerRecord(2).Peer, st.peers["i2"])
	require.NotContains(t, st.peers, ident.InstanceID("i0"))
	gone := peerRecord(2)
	gone.State = member.StateSuspect
	heard(st, gone)
	require.Len(t, st.nodes, 4)
	gone.State = member.StateDead
	heard(st, gone)
	require.Len(t, st.nodes, 3)
	require.NotContains(t, st.peers, ident.InstanceID("i2"))
}

// Guards against an instance that stays in lookup responses while it shuts down, or does not tell others.
func TestLeaveWithdraws(t *testing.T) {
	st := grown(3)
	told := 0
	for _, a := range (LeaveAsked{}).apply(st) {
		if p, ok := a.(SendPing); ok {
			require.Equal(t, member.StateLeft, p.Ping.Members[0].State)
			told++
			PingFailed{Exchange: p.ID}.apply(st)
		}
	}
	require.Equal(t, 2, told)
	for _, n := range st.nodes {
		require.NotEqual(t, st.self.ID, n.ID)
	}
	require.NotContains(t, st.addresses, st.self.ID)
}

// Guards against heartbeats that do not carry the distribution's digest and revisions, and against relays
// whose senders have gone and that pile up.
func TestHeartbeatsCarryDistribution(t *testing.T) {
	st := grown(3)
	st.distribute(dist.MembersChanged{Members: st.nodes})
	pong, _ := heard(st, peerRecord(1))
	require.Equal(t, st.dist.Digest(), pong.Digest)
	held := dist.ObjectRevision{Key: dist.TableKey("svc"), Revision: 3}
	PingSeen{Ping: member.Ping{Sender: "i1", Incarnation: 5}, Rider: Rider{Held: []dist.ObjectRevision{held}}, Reply: make(chan Pong, 1)}.apply(st)
	pong, _ = heard(st, peerRecord(2))
	require.Contains(t, pong.Held, held)

	reply := make(chan Pong, 1)
	PingSeen{Ping: member.Ping{Sender: "i1", Incarnation: 5, Target: "i2"}, Reply: reply}.apply(st)
	require.Len(t, st.members.replies, 1)
	for range replyTicks + 1 {
		st.memberTick()
	}
	require.Empty(t, st.members.replies)
}
