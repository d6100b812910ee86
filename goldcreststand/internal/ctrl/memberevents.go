package ctrl

import (
	"math/rand/v2"
	"net/netip"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
	"goldcreststand.example/core/place"
)

// DistGossip is the distribution state that heartbeats carry: object revisions and the digest.
type DistGossip struct {
	Revisions []dist.ObjectRevision
	Digest    dist.Digest
}

// Pong is the response to a heartbeat.
type Pong struct {
	member.Pong
	DistGossip
}

// SendPing requests a heartbeat. The result is a PongReceived or PingFailed event.
type SendPing struct {
	member.SendPing
	DistGossip
}

// PingReceived is a heartbeat from another instance. Reply must have room for one value. The reply is sent
// later, or never, when the heartbeat is relayed to another instance first.
type PingReceived struct {
	Ping member.Ping
	DistGossip
	Reply chan<- Pong
}

// PongReceived is the response to a heartbeat.
type PongReceived struct {
	PingID member.PingID
	Pong
}

// PingFailed reports that a heartbeat got no response.
type PingFailed struct{ PingID member.PingID }

// LeaveRequested starts a graceful shutdown: the other instances are notified, and this one is removed from
// lookup responses. A member.LeaveCompleted action follows.
type LeaveRequested struct{}

var (
	_ Event = PingReceived{}
	_ Event = PongReceived{}
	_ Event = PingFailed{}
	_ Event = LeaveRequested{}
)

// members is the control state of the membership.
type members struct {
	core           *member.Core
	version        uint64
	records        []member.Record
	lastToken      member.ReplyToken
	pendingReplies map[member.ReplyToken]pendingReply
}

// pendingReply is a received heartbeat whose response is not known yet.
type pendingReply struct {
	reply chan<- Pong
	// ticks is the number of ticks until the sender has stopped waiting for the response.
	ticks int
}

// pendingReplyTicks is longer than the sender of a heartbeat waits for the response.
const pendingReplyTicks = 50

func newMembers(self Self) *members {
	r := member.Record{
		ID: self.ID, Incarnation: member.FirstIncarnation(self.Start),
		Domain: self.Domain, Region: self.Region, Traffic: self.Traffic, Peer: self.Peer,
	}
	if self.Member.ProbeInterval == 0 {
		self.Member = member.DefaultConfig()
	}
	core := member.New(r, self.Member, rand.New(rand.NewPCG(self.Seed, 1)), self.Start)
	return &members{core: core, records: core.Members(), pendingReplies: make(map[member.ReplyToken]pendingReply)}
}

func (e PingReceived) apply(st *state) []Action {
	m := st.members
	m.lastToken++
	m.pendingReplies[m.lastToken] = pendingReply{reply: e.Reply, ticks: pendingReplyTicks}
	out := st.handleMemberEvent(member.PingReceived{At: st.now, Token: m.lastToken, Ping: e.Ping})
	return append(out, st.handleDistEvent(dist.GossipReceived{From: e.Ping.Sender, Revisions: e.Revisions, Digest: e.Digest})...)
}

func (e PongReceived) apply(st *state) []Action {
	out := st.handleMemberEvent(member.PongReceived{At: st.now, ID: e.PingID, Pong: e.Pong.Pong})
	return append(out, st.handleDistEvent(dist.GossipReceived{From: e.Sender, Revisions: e.Revisions, Digest: e.Digest})...)
}

func (e PingFailed) apply(st *state) []Action {
	return st.handleMemberEvent(member.PingFailed{At: st.now, ID: e.PingID})
}

func (LeaveRequested) apply(st *state) []Action {
	return st.handleMemberEvent(member.LeaveRequested{At: st.now})
}

func (st *state) tickMembers() []Action {
	for t, p := range st.members.pendingReplies {
		if p.ticks--; p.ticks < 0 {
			delete(st.members.pendingReplies, t)
			continue
		}
		st.members.pendingReplies[t] = p
	}
	return st.handleMemberEvent(member.Tick{At: st.now})
}

// handleMemberEvent passes the event to the membership core and applies the resulting actions.
func (st *state) handleMemberEvent(ev member.Event) []Action {
	var out []Action
	for _, a := range st.members.core.Handle(ev) {
		switch a := a.(type) {
		case member.SendPing:
			out = append(out, SendPing{SendPing: a, DistGossip: st.distGossip()})
		case member.SendPong:
			st.sendPong(a)
		default:
			out = append(out, a)
		}
	}
	st.updateInstances()
	return out
}

func (st *state) distGossip() DistGossip {
	revisions, digest := st.dist.Gossip()
	return DistGossip{Revisions: revisions, Digest: digest}
}

func (st *state) sendPong(a member.SendPong) {
	p, ok := st.members.pendingReplies[a.Token]
	if !ok {
		return
	}
	delete(st.members.pendingReplies, a.Token)
	select {
	case p.reply <- Pong{Pong: a.Pong, DistGossip: st.distGossip()}:
	default:
	}
}

// updateInstances updates the live instances and their addresses from the membership.
func (st *state) updateInstances() {
	m := st.members
	if v := m.core.Version(); v == m.version {
		return
	}
	m.version, m.records = m.core.Version(), m.core.Members()
	st.instances = nil
	st.addresses = make(map[ident.InstanceID]netip.AddrPort)
	st.peers = make(map[ident.InstanceID]netip.AddrPort)
	for _, r := range m.records {
		if !r.Live() {
			continue
		}
		st.instances = append(st.instances, place.Instance{ID: r.ID, Domain: r.Domain})
		st.addresses[r.ID] = r.Traffic
		if r.ID != st.self.ID {
			st.peers[r.ID] = r.Peer
		}
	}
}
