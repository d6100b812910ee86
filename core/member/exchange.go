package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// kind says why a ping was sent.
type kind int

// Kinds of pings.
const (
	// kindProbe is the direct probe of a member.
	kindProbe kind = iota
	// kindIndirect asks another member to probe.
	kindIndirect
	// kindRelay probes for another member.
	kindRelay
	// kindNotify tells a member that it is suspected.
	kindNotify
	// kindAnnounce tells others this instance's own record.
	kindAnnounce
	// kindFarewell tells others that this instance leaves.
	kindFarewell
	// kindContact tries to reach a member believed dead, or a seed.
	kindContact
	// kindJoin asks a seed for members.
	kindJoin
	// kindSync asks a live member for a page of members.
	kindSync
)

// exchange is a ping that waits for its response.
type exchange struct {
	kind    kind
	started time.Time
	// subject is the member that was probed, or whose probe was asked for.
	subject ident.InstanceID
	// ticket is that of the ping that asked for a relay.
	ticket Ticket
	// to is the address.
	to netip.AddrPort
}

// exchanges are the pings that wait for their responses.
type exchanges struct {
	last Exchange
	open map[Exchange]*exchange
	// order holds the identifiers by age.
	order []Exchange
}

// send sends a ping and returns its exchange.
func (c *Core) send(k kind, subject ident.InstanceID, to netip.AddrPort, p Ping) *exchange {
	c.exchanges.last++
	id := c.exchanges.last
	x := &exchange{kind: k, started: c.now, subject: subject, to: to}
	c.exchanges.open[id] = x
	c.exchanges.order = append(c.exchanges.order, id)
	c.actions = append(c.actions, Send{Exchange: id, To: to, Ping: p})
	return x
}

// expire fails exchanges whose result was never handed in, so that they do not pile up.
func (c *Core) expire() {
	order := c.exchanges.order
	for len(order) > 0 {
		x, ok := c.exchanges.open[order[0]]
		if ok && c.now.Sub(x.started) < 2*c.cfg.Dead {
			break
		}
		if ok {
			delete(c.exchanges.open, order[0])
			c.failed(x)
		}
		order = order[1:]
	}
	c.exchanges.order = order
}

func (e Failed) apply(c *Core) {
	if x, ok := c.exchanges.open[e.Exchange]; ok {
		delete(c.exchanges.open, e.Exchange)
		c.failed(x)
	}
}

func (c *Core) failed(x *exchange) {
	switch x.kind {
	case kindProbe:
		c.askOthers(x.subject)
	case kindRelay:
		c.reply(x.ticket, c.pong(""))
	case kindJoin:
		c.joining.open = false
	case kindFarewell:
		c.leaveAnswered()
	case kindSync:
		c.syncing.after = ""
	case kindIndirect, kindNotify, kindAnnounce, kindContact:
	}
}

func (e Answered) apply(c *Core) {
	x, ok := c.exchanges.open[e.Exchange]
	if !ok {
		return
	}
	delete(c.exchanges.open, e.Exchange)
	fresh, stale := c.learn(e.Pong.Sender, e.Pong.Incarnation, e.Pong.Members, x.kind == kindJoin || x.kind == kindSync)
	if stale && x.kind != kindAnnounce && c.self.State != StateLeft {
		c.announce(x.to)
	}
	// An address may belong to another instance by now, whose response says nothing of the subject.
	right := e.Pong.Sender == x.subject
	switch x.kind {
	case kindProbe:
		if right {
			c.acknowledge(x.subject)
		} else {
			c.askOthers(x.subject)
		}
	case kindIndirect:
		if e.Pong.Reached {
			c.acknowledge(x.subject)
		}
	case kindRelay:
		out := c.pong("")
		out.Reached = right
		c.reply(x.ticket, out)
	case kindJoin:
		c.joinPage(x, e.Pong)
	case kindSync:
		c.syncPage(e.Pong, fresh)
	case kindFarewell:
		c.leaveAnswered()
	case kindNotify, kindAnnounce, kindContact:
	}
}

func (c *Core) reply(t Ticket, p Pong) {
	c.actions = append(c.actions, Reply{Ticket: t, Pong: p})
}

// announce sends this instance's full record to one address.
func (c *Core) announce(to netip.AddrPort) {
	p := c.ping("")
	p.Members = []Record{c.self}
	c.send(kindAnnounce, "", to, p)
}
