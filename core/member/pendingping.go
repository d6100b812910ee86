package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// pingKind is the purpose of a ping.
type pingKind int

// Kinds of pings.
const (
	// kindProbe probes a member directly.
	kindProbe pingKind = iota
	// kindProbeRequest asks a member to probe another one.
	kindProbeRequest
	// kindRelay probes a member on behalf of another one.
	kindRelay
	// kindNotifySuspect notifies a member that it is suspected.
	kindNotifySuspect
	// kindAnnounce sends the record of this instance.
	kindAnnounce
	// kindLeave announces that this instance leaves.
	kindLeave
	// kindReconnect tries to reach a dead member or a seed.
	kindReconnect
	// kindJoin asks a seed for a page of members.
	kindJoin
	// kindSync asks a live member for a page of members.
	kindSync
)

// pendingPing is a ping that has not been answered yet.
type pendingPing struct {
	kind    pingKind
	started time.Time
	// subject is the member that is probed directly or indirectly.
	subject ident.InstanceID
	// replyToken identifies the ping that asked for this probe. It is set for kindRelay only.
	replyToken ReplyToken
	// addr is the address that the ping was sent to.
	addr netip.AddrPort
}

// pendingPings are the pings that have not been answered yet.
type pendingPings struct {
	lastID PingID
	byID   map[PingID]*pendingPing
	// order holds the identifiers, oldest first.
	order []PingID
}

// send emits a SendPing action and registers the ping as pending.
func (c *Core) send(k pingKind, subject ident.InstanceID, to netip.AddrPort, p Ping) *pendingPing {
	c.pings.lastID++
	id := c.pings.lastID
	x := &pendingPing{kind: k, started: c.now, subject: subject, addr: to}
	c.pings.byID[id] = x
	c.pings.order = append(c.pings.order, id)
	c.actions = append(c.actions, SendPing{ID: id, To: to, Ping: p})
	return x
}

// expirePings fails pings whose result was never reported, which would otherwise accumulate.
func (c *Core) expirePings() {
	order := c.pings.order
	for len(order) > 0 {
		x, ok := c.pings.byID[order[0]]
		if ok && c.now.Sub(x.started) < 2*c.cfg.DeadTimeout {
			break
		}
		if ok {
			delete(c.pings.byID, order[0])
			c.pingFailed(x)
		}
		order = order[1:]
	}
	c.pings.order = order
}

func (e PingFailed) apply(c *Core) {
	if x, ok := c.pings.byID[e.ID]; ok {
		delete(c.pings.byID, e.ID)
		c.pingFailed(x)
	}
}

func (c *Core) pingFailed(x *pendingPing) {
	switch x.kind {
	case kindProbe:
		c.probeIndirectly(x.subject)
	case kindRelay:
		c.reply(x.replyToken, c.pong(""))
	case kindJoin:
		c.joining.requested = false
	case kindLeave:
		c.leavePingDone()
	case kindSync:
		c.syncing.after = ""
	case kindProbeRequest, kindNotifySuspect, kindAnnounce, kindReconnect:
	}
}

func (e PongReceived) apply(c *Core) {
	x, ok := c.pings.byID[e.ID]
	if !ok {
		return
	}
	delete(c.pings.byID, e.ID)
	fresh, stale := c.mergeMessage(e.Pong.Sender, e.Pong.Incarnation, e.Pong.Members, x.kind == kindJoin || x.kind == kindSync)
	if stale && x.kind != kindAnnounce && c.self.State != StateLeft {
		c.announce(x.addr)
	}
	// The address may belong to another instance by now, whose response does not show that the subject is alive.
	fromSubject := e.Pong.Sender == x.subject
	switch x.kind {
	case kindProbe:
		if fromSubject {
			c.endProbe(x.subject)
		} else {
			c.probeIndirectly(x.subject)
		}
	case kindProbeRequest:
		if e.Pong.TargetReached {
			c.endProbe(x.subject)
		}
	case kindRelay:
		out := c.pong("")
		out.TargetReached = fromSubject
		c.reply(x.replyToken, out)
	case kindJoin:
		c.handleJoinPage(x, e.Pong)
	case kindSync:
		c.handleSyncPage(e.Pong, fresh)
	case kindLeave:
		c.leavePingDone()
	case kindNotifySuspect, kindAnnounce, kindReconnect:
	}
}

func (c *Core) reply(t ReplyToken, p Pong) {
	c.actions = append(c.actions, SendPong{Token: t, Pong: p})
}

// announce sends this instance's full record to one address.
func (c *Core) announce(to netip.AddrPort) {
	p := c.ping("")
	p.Members = []Record{c.self}
	c.send(kindAnnounce, "", to, p)
}
