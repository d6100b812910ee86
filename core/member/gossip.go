package member

import (
	"slices"

	"goldcreststand.example/core/ident"
)

// ping returns a ping with gossip for the member, or for an unknown receiver when the name is empty.
func (c *Core) ping(to ident.InstanceID) Ping {
	return Ping{Sender: c.self.ID, Incarnation: c.self.Incarnation, Members: c.gossip(to)}
}

// pong returns a pong with gossip for the member, or for an unknown receiver when the name is empty.
func (c *Core) pong(to ident.InstanceID) Pong {
	return Pong{Sender: c.self.ID, Incarnation: c.self.Incarnation, Members: c.gossip(to)}
}

// gossip returns the records for one message: first that this instance leaves, then what the receiver
// has to refute, or news. A receiver that does not respond gets no news: they would be lost.
func (c *Core) gossip(to ident.InstanceID) []Record {
	var out []Record
	if c.self.State == StateLeft {
		out = append(out, c.self.Short())
	}
	if e, ok := c.members[to]; ok && e.State != StateAlive {
		return append(out, e.Short())
	}
	return append(out, c.queue.take(c.transmissions(), MaxRecords-len(out), c.cfg.GossipBurst/2, c.Find)...)
}

func (e PingReceived) apply(c *Core) {
	in := e.Ping
	c.mergeMessage(in.Sender, in.Incarnation, in.Members, false)
	if in.Target != "" && in.Target != c.self.ID {
		c.relay(e.Token, in.Target)
		return
	}
	out := c.pong(in.Sender)
	if in.Pull {
		out.Members, out.More = c.page(in.After)
		out.LiveMembers = len(c.liveMembers("")) + 1
	}
	out.TargetReached = in.Target == c.self.ID
	if r, stale := c.outdatedRecord(in.Sender, in.Incarnation); stale {
		out.Members = append(out.Members, r)
	}
	out.Members = out.Members[:min(len(out.Members), MaxRecords)]
	c.reply(e.Token, out)
}

// outdatedRecord returns the record that makes a sender announce itself, when it is not known
// as it is. A sender whose incarnation is the older one has to raise it: its name had a later life.
func (c *Core) outdatedRecord(id ident.InstanceID, i ident.Incarnation) (Record, bool) {
	e, ok := c.members[id]
	switch {
	case !ok:
		// The oldest record there is: the sender need not refute it, only announce itself.
		return Record{ID: id, State: StateDead}, id != c.self.ID
	case e.Incarnation != i:
		return e.Short(), true
	default:
		return Record{}, false
	}
}

// relay probes the target for the sender of the ticket's ping.
func (c *Core) relay(t ReplyToken, target ident.InstanceID) {
	e, ok := c.members[target]
	if !ok || !e.Full() {
		c.reply(t, c.pong(""))
		return
	}
	c.send(kindRelay, target, e.Peer, c.ping(target)).replyToken = t
}

// page returns the first records after the identifier, dead ones left out: who misses a death finds out
// by itself, and old deaths would have to be refuted again after a network partition.
func (c *Core) page(after ident.InstanceID) ([]Record, bool) {
	var out []Record
	for _, r := range c.Members() {
		if r.ID <= after || r.State == StateDead {
			continue
		}
		if len(out) == PageSize {
			return out, true
		}
		if r.State == StateLeft {
			r = r.Short()
		}
		out = append(out, r)
	}
	return out, false
}

// mergeMessage merges what a message says. It reports whether a record was new, and whether the sender knows
// an older record of this instance. Records of a page are not passed on unless they change a known
// member: everyone gets pages.
func (c *Core) mergeMessage(sender ident.InstanceID, i ident.Incarnation, rs []Record, fromPage bool) (fresh, stale bool) {
	for _, r := range rs {
		if r.ID == c.self.ID {
			stale = c.refute(r) || stale
			continue
		}
		// Suspicion is short-lived and spreads by gossip; it is no reason to ask for more pages.
		fresh = c.merge(r, fromPage) && r.State != StateSuspect || fresh
	}
	if sender != c.self.ID {
		c.merge(Record{ID: sender, Incarnation: i}, false)
	}
	return fresh, stale
}

// merge joins the record into the table and reports whether it was new.
func (c *Core) merge(r Record, fromPage bool) bool {
	e, known := c.members[r.ID]
	if !known {
		// Without an address the record is of no use, and to remember departures of unknown instances
		// would keep them for ever, as they are told from one to another.
		if !r.Full() || !r.Live() {
			return false
		}
		c.addMember(r, fromPage)
		return true
	}
	if !r.Newer(e.Record) || (r.Live() && !r.Full() && !sameProcess(r.Incarnation, e.Incarnation)) {
		return false
	}
	if r.Live() && e.State == StateDead {
		c.syncSoon()
	}
	full := r.Full() && !sameProcess(r.Incarnation, e.Incarnation)
	e.Record, e.stateSince, e.raisedSuspicion = r.fillFrom(e.Record), c.now, false
	c.queue.add(r.ID, full)
	c.recordChanged(e)
	return true
}

func (c *Core) addMember(r Record, fromPage bool) {
	i, _ := slices.BinarySearch(c.ids, r.ID)
	c.ids = slices.Insert(c.ids, i, r.ID)
	c.members[r.ID] = &entry{Record: r, stateSince: c.now}
	// A new member is probed in this round, at a random place.
	c.probeOrder = slices.Insert(c.probeOrder, c.rng.IntN(len(c.probeOrder)+1), r.ID)
	if !fromPage {
		c.queue.add(r.ID, true)
	}
	c.recordChanged(c.members[r.ID])
}

// refute handles a record of this instance that others hold. It raises the incarnation when the record
// is wrong, and reports whether the record is older than the truth.
func (c *Core) refute(r Record) bool {
	own := c.self
	otherAddresses := r.Full() && (r.Peer != own.Peer || r.Traffic != own.Traffic)
	switch {
	case own.State == StateLeft, r.Incarnation == own.Incarnation && r.State == StateAlive && !otherAddresses:
		return false
	case r.Incarnation < own.Incarnation:
		return true
	case otherAddresses || r.State == StateLeft || !sameProcess(r.Incarnation, own.Incarnation):
		// Another process has or had this name. Its addresses must not stay with this one's incarnation.
		c.self.Incarnation = nextProcess(r.Incarnation)
		if otherAddresses && r.Live() {
			c.actions = append(c.actions, NameConflict{Record: r})
		}
	default:
		c.self.Incarnation = r.Incarnation + 1
	}
	c.queue.add(own.ID, !sameProcess(own.Incarnation, c.self.Incarnation))
	c.version++
	return true
}
