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

// newMemberState returns the state of instance 0 in a fleet of n instances whose records it has received.
func newMemberState(n int) *state {
	self := peerRecord(0)
	st := newState(Self{
		ID: self.ID, Domain: self.Domain, Region: self.Region, Traffic: self.Traffic, Peer: self.Peer,
		Start: time.Unix(1e6, 0), InstancesPerService: 4, Dist: dist.DefaultConfig(4),
	})
	st.now = time.Unix(1e6, 0)
	for i := 1; i < n; i++ {
		receivePing(st, peerRecord(i))
	}
	return st
}

func receivePing(st *state, r member.Record) (Pong, []Action) {
	reply := make(chan Pong, 1)
	actions := PingReceived{Ping: member.Ping{Sender: r.ID, Incarnation: r.Incarnation, Members: []member.Record{r}}, Reply: reply}.apply(st)
	select {
	case p := <-reply:
		return p, actions
	default:
		return Pong{}, actions
	}
}

// Guards against live members that placement does not use, and against dead ones that it still uses.
func TestLiveMembersBecomeInstances(t *testing.T) {
	st := newMemberState(4)
	require.Len(t, st.instances, 4)
	require.Equal(t, peerRecord(2).Traffic, st.addresses["i2"])
	require.Equal(t, peerRecord(2).Peer, st.peers["i2"])
	require.NotContains(t, st.peers, ident.InstanceID("i0"))
	changed := peerRecord(2)
	changed.State = member.StateSuspect
	receivePing(st, changed)
	require.Len(t, st.instances, 4)
	changed.State = member.StateDead
	receivePing(st, changed)
	require.Len(t, st.instances, 3)
	require.NotContains(t, st.peers, ident.InstanceID("i2"))
}

// Guards against an instance that stays in lookup responses while it shuts down, or does not notify its
// peers.
func TestLeaveRemovesInstanceAndNotifiesPeers(t *testing.T) {
	st := newMemberState(3)
	notified := 0
	for _, a := range (LeaveRequested{}).apply(st) {
		if p, ok := a.(SendPing); ok {
			require.Equal(t, member.StateLeft, p.Ping.Members[0].State)
			notified++
			PingFailed{PingID: p.ID}.apply(st)
		}
	}
	require.Equal(t, 2, notified)
	for _, inst := range st.instances {
		require.NotEqual(t, st.self.ID, inst.ID)
	}
	require.NotContains(t, st.addresses, st.self.ID)
}

// Guards against heartbeats without the distribution's digest and revisions, and against an accumulation of
// relayed heartbeats whose senders no longer wait.
func TestHeartbeatsCarryDistGossip(t *testing.T) {
	st := newMemberState(3)
	st.handleDistEvent(dist.MembersChanged{Members: st.instances})
	pong, _ := receivePing(st, peerRecord(1))
	require.Equal(t, st.dist.Digest(), pong.Digest)
	revision := dist.ObjectRevision{Key: dist.TableKey("svc"), Revision: 3}
	PingReceived{Ping: member.Ping{Sender: "i1", Incarnation: 5}, DistGossip: DistGossip{Revisions: []dist.ObjectRevision{revision}}, Reply: make(chan Pong, 1)}.apply(st)
	pong, _ = receivePing(st, peerRecord(2))
	require.Contains(t, pong.Revisions, revision)

	reply := make(chan Pong, 1)
	PingReceived{Ping: member.Ping{Sender: "i1", Incarnation: 5, Target: "i2"}, Reply: reply}.apply(st)
	require.Len(t, st.members.pendingReplies, 1)
	for range pendingReplyTicks + 1 {
		st.tickMembers()
	}
	require.Empty(t, st.members.pendingReplies)
}
