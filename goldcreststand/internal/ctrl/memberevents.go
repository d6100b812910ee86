package ctrl

import (
	"math/rand/v2"
	"net/netip"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
	"goldcreststand.example/core/place"
)

// Rider is what heartbeats carry for the distribution.
type Rider struct {
	Held   []dist.ObjectRevision
	Digest dist.Digest
}

// Pong is the response to a heartbeat.
type Pong struct {
	member.Pong
	Rider
}

// SendPing asks for a heartbeat to be sent. The result is a PongSeen or a PingFailed.
type SendPing struct {
	member.SendPing
	Rider
}

// PingSeen is another instance's heartbeat. Reply must have room for one value, which may come later or,
// when another instance is asked first, never.
type PingSeen struct {
	Ping member.Ping
	Rider
	Reply chan<- Pong
}

// PongSeen is the response to a heartbeat.
type PongSeen struct {
	Exchange member.PingID
	Pong
}

// PingFailed says that a heartbeat got no response.
type PingFailed struct{ Exchange member.PingID }

// LeaveAsked starts a graceful shutdown: other instances are told, and this one is left out of lookup
// responses. A member.Departed action follows.
type LeaveAsked struct{}

var (
	_ Event = PingSeen{}
	_ Event = PongSeen{}
	_ Event = PingFailed{}
	_ Event = LeaveAsked{}
)

// members is the control state about the instances.
type members struct {
	core    *member.Core
	version uint64
	records []member.Record
	ticket  member.ReplyToken
	replies map[member.ReplyToken]waiting
}

// waiting is a received heartbeat whose response is not known yet.
type waiting struct {
	reply chan<- Pong
	// ticks counts down to the time at which nobody waits for the response any more.
	ticks int
}

// replyTicks is longer than the time for which the sender of a heartbeat waits.
const replyTicks = 50

func newMembers(self Self) *members {
	r := member.Record{
		ID: self.ID, Incarnation: member.FirstIncarnation(self.Start),
		Domain: self.Domain, Region: self.Region, Traffic: self.Traffic, Peer: self.Peer,
	}
	if self.Member.ProbeInterval == 0 {
		self.Member = member.DefaultConfig()
	}
	core := member.New(r, self.Member, rand.New(rand.NewPCG(self.Seed, 1)), self.Start)
	return &members{core: core, records: core.Members(), replies: make(map[member.ReplyToken]waiting)}
}

func (e PingSeen) apply(st *state) []Action {
	m := st.members
	m.ticket++
	m.replies[m.ticket] = waiting{reply: e.Reply, ticks: replyTicks}
	out := st.gossip(member.PingReceived{At: st.now, Token: m.ticket, Ping: e.Ping})
	return append(out, st.distribute(dist.GossipReceived{From: e.Ping.Sender, Revisions: e.Held, Digest: e.Digest})...)
}

func (e PongSeen) apply(st *state) []Action {
	out := st.gossip(member.PongReceived{At: st.now, ID: e.Exchange, Pong: e.Pong.Pong})
	return append(out, st.distribute(dist.GossipReceived{From: e.Sender, Revisions: e.Held, Digest: e.Digest})...)
}

func (e PingFailed) apply(st *state) []Action {
	return st.gossip(member.PingFailed{At: st.now, ID: e.Exchange})
}

func (LeaveAsked) apply(st *state) []Action { return st.gossip(member.LeaveRequested{At: st.now}) }

func (st *state) memberTick() []Action {
	for t, w := range st.members.replies {
		if w.ticks--; w.ticks < 0 {
			delete(st.members.replies, t)
			continue
		}
		st.members.replies[t] = w
	}
	return st.gossip(member.Tick{At: st.now})
}

// gossip hands the event to the membership and applies what it decided.
func (st *state) gossip(ev member.Event) []Action {
	var out []Action
	for _, a := range st.members.core.Handle(ev) {
		switch a := a.(type) {
		case member.SendPing:
			out = append(out, SendPing{SendPing: a, Rider: st.rider()})
		case member.SendPong:
			st.reply(a)
		default:
			out = append(out, a)
		}
	}
	st.follow()
	return out
}

func (st *state) rider() Rider {
	held, digest := st.dist.Gossip()
	return Rider{Held: held, Digest: digest}
}

func (st *state) reply(a member.SendPong) {
	w, ok := st.members.replies[a.Token]
	if !ok {
		return
	}
	delete(st.members.replies, a.Token)
	select {
	case w.reply <- Pong{Pong: a.Pong, Rider: st.rider()}:
	default:
	}
}

// follow brings the instances that serve up to date with the membership.
func (st *state) follow() {
	m := st.members
	if v := m.core.Version(); v == m.version {
		return
	}
	m.version, m.records = m.core.Version(), m.core.Members()
	st.nodes = nil
	st.addresses = make(map[ident.InstanceID]netip.AddrPort)
	st.peers = make(map[ident.InstanceID]netip.AddrPort)
	for _, r := range m.records {
		if !r.Live() {
			continue
		}
		st.nodes = append(st.nodes, place.Instance{ID: r.ID, Domain: r.Domain})
		st.addresses[r.ID] = r.Traffic
		if r.ID != st.self.ID {
			st.peers[r.ID] = r.Peer
		}
	}
}
