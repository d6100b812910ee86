package member

import (
	"slices"

	"goldcreststand.example/core/ident"
)

// ping returns a ping with gossip for the member. An empty identifier stands for an unknown receiver.
func (c *Core) ping(to ident.InstanceID) Ping {
	return Ping{Sender: c.self.ID, Incarnation: c.self.Incarnation, Members: c.gossip(to)}
}

// pong returns a pong with gossip for the member. An empty identifier stands for an unknown receiver.
func (c *Core) pong(to ident.InstanceID) Pong {
	return Pong{Sender: c.self.ID, Incarnation: c.self.Incarnation, Members: c.gossip(to)}
}

// gossip returns the records for one message: the record of this instance when it leaves, then the record
// that the receiver has to refute, or else queued updates. A receiver that may not respond gets no queued
// updates, because they count as sent and could be lost.
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

// outdatedRecord returns the record to send back to a sender that is unknown here, or known with another
// incarnation than that of its message. In response the sender announces itself. If the message has the
// lower incarnation, a later process had the same name, and the sender also raises its incarnation.
func (c *Core) outdatedRecord(id ident.InstanceID, i ident.Incarnation) (Record, bool) {
	e, ok := c.members[id]
	switch {
	case !ok:
		// Incarnation 0 is the lowest: the sender announces itself without raising its incarnation.
		return Record{ID: id, State: StateDead}, id != c.self.ID
	case e.Incarnation != i:
		return e.Short(), true
	default:
		return Record{}, false
	}
}

// relay probes the target on behalf of the sender of the ping that the token identifies.
func (c *Core) relay(t ReplyToken, target ident.InstanceID) {
	e, ok := c.members[target]
	if !ok || !e.Full() {
		c.reply(t, c.pong(""))
		return
	}
	c.send(kindRelay, target, e.Peer, c.ping(target)).replyToken = t
}

// page returns the first records after the identifier, and whether there are more. It omits dead members:
// a receiver that missed a death detects it by its own probes, and after a network partition live members
// would have to refute records of old deaths again.
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

// mergeMessage merges the records of a message. It reports whether a record was new, and whether the sender
// has an outdated record of this instance. Members that are new from a page are not gossiped, because every
// instance requests pages itself.
func (c *Core) mergeMessage(sender ident.InstanceID, i ident.Incarnation, rs []Record, fromPage bool) (fresh, stale bool) {
	for _, r := range rs {
		if r.ID == c.self.ID {
			stale = c.refute(r) || stale
			continue
		}
		// A suspicion is short-lived and spreads by gossip, so it is no reason to request more pages.
		fresh = c.merge(r, fromPage) && r.State != StateSuspect || fresh
	}
	if sender != c.self.ID {
		c.merge(Record{ID: sender, Incarnation: i}, false)
	}
	return fresh, stale
}

// merge stores the record if it is newer than the known one, and reports whether it was.
func (c *Core) merge(r Record, fromPage bool) bool {
	e, known := c.members[r.ID]
	if !known {
		// A member without an address cannot be reached. Departures of unknown instances are ignored because
		// instances would pass them to each other for ever.
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
	c.emitRecordChanged(e)
	return true
}

func (c *Core) addMember(r Record, fromPage bool) {
	i, _ := slices.BinarySearch(c.ids, r.ID)
	c.ids = slices.Insert(c.ids, i, r.ID)
	c.members[r.ID] = &entry{Record: r, stateSince: c.now}
	// The new member is probed in the current round, at a random position.
	c.probeOrder = slices.Insert(c.probeOrder, c.rng.IntN(len(c.probeOrder)+1), r.ID)
	if !fromPage {
		c.queue.add(r.ID, true)
	}
	c.emitRecordChanged(c.members[r.ID])
}

// refute handles a record of this instance received from another one. It raises the incarnation when the
// record is wrong, and reports whether the sender has to receive the current record.
func (c *Core) refute(r Record) bool {
	own := c.self
	otherAddresses := r.Full() && (r.Peer != own.Peer || r.Traffic != own.Traffic)
	switch {
	case own.State == StateLeft, r.Incarnation == own.Incarnation && r.State == StateAlive && !otherAddresses:
		return false
	case r.Incarnation < own.Incarnation:
		return true
	case otherAddresses || r.State == StateLeft || !sameProcess(r.Incarnation, own.Incarnation):
		// Another process uses or used this name. A new process number in the incarnation keeps its addresses
		// from being taken for those of this process.
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
