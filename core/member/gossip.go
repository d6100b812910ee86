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
	return append(out, c.queue.take(c.transmissions(), MaxRecords-len(out), c.cfg.Burst/2, c.Find)...)
}

func (e Received) apply(c *Core) {
	in := e.Ping
	c.learn(in.Sender, in.Incarnation, in.Members, false)
	if in.Target != "" && in.Target != c.self.ID {
		c.relay(e.Ticket, in.Target)
		return
	}
	out := c.pong(in.Sender)
	if in.Pull {
		out.Members, out.More = c.page(in.After)
		out.Count = len(c.live("")) + 1
	}
	out.Reached = in.Target == c.self.ID
	if r, stale := c.staleness(in.Sender, in.Incarnation); stale {
		out.Members = append(out.Members, r)
	}
	out.Members = out.Members[:min(len(out.Members), MaxRecords)]
	c.reply(e.Ticket, out)
}

// staleness returns the record that makes a sender announce itself, when it is not known
// as it is. A sender whose incarnation is the older one has to raise it: its name had a later life.
func (c *Core) staleness(id ident.InstanceID, i ident.Incarnation) (Record, bool) {
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
func (c *Core) relay(t Ticket, target ident.InstanceID) {
	e, ok := c.members[target]
	if !ok || !e.Full() {
		c.reply(t, c.pong(""))
		return
	}
	c.send(kindRelay, target, e.Peer, c.ping(target)).ticket = t
}

// page returns the first records after the identifier, dead ones left out: who misses a death finds out
// by itself, and old deaths would have to be refuted again after a network partition.
func (c *Core) page(after ident.InstanceID) ([]Record, bool) {
	var out []Record
	for _, r := range c.Members() {
		if r.ID <= after || r.State == StateDead {
			continue
		}
		if len(out) == Page {
			return out, true
		}
		if r.State == StateLeft {
			r = r.Short()
		}
		out = append(out, r)
	}
	return out, false
}

// learn merges what a message says. It reports whether a record was new, and whether the sender knows
// an older record of this instance. Records of a page are not passed on unless they change a known
// member: everyone gets pages.
func (c *Core) learn(sender ident.InstanceID, i ident.Incarnation, rs []Record, page bool) (fresh, stale bool) {
	for _, r := range rs {
		if r.ID == c.self.ID {
			stale = c.refute(r) || stale
			continue
		}
		// Suspicion is short-lived and spreads by gossip; it is no reason to ask for more pages.
		fresh = c.merge(r, page) && r.State != StateSuspect || fresh
	}
	if sender != c.self.ID {
		c.merge(Record{ID: sender, Incarnation: i}, false)
	}
	return fresh, stale
}

// merge joins the record into the table and reports whether it was new.
func (c *Core) merge(r Record, page bool) bool {
	e, known := c.members[r.ID]
	if !known {
		// Without an address the record is of no use, and to remember departures of unknown instances
		// would keep them for ever, as they are told from one to another.
		if !r.Full() || !r.Live() {
			return false
		}
		c.insert(r, page)
		return true
	}
	if !r.Newer(e.Record) || (r.Live() && !r.Full() && !sameLife(r.Incarnation, e.Incarnation)) {
		return false
	}
	if r.Live() && e.State == StateDead {
		c.hurry()
	}
	full := r.Full() && !sameLife(r.Incarnation, e.Incarnation)
	e.Record, e.since, e.suspector = r.complete(e.Record), c.now, false
	c.queue.put(r.ID, full)
	c.changed(e)
	return true
}

func (c *Core) insert(r Record, page bool) {
	i, _ := slices.BinarySearch(c.ids, r.ID)
	c.ids = slices.Insert(c.ids, i, r.ID)
	c.members[r.ID] = &entry{Record: r, since: c.now}
	// A new member is probed in this round, at a random place.
	c.rounds = slices.Insert(c.rounds, c.rng.IntN(len(c.rounds)+1), r.ID)
	if !page {
		c.queue.put(r.ID, true)
	}
	c.changed(c.members[r.ID])
}

// refute handles a record of this instance that others hold. It raises the incarnation when the record
// is wrong, and reports whether the record is older than the truth.
func (c *Core) refute(r Record) bool {
	own := c.self
	foreign := r.Full() && (r.Peer != own.Peer || r.Traffic != own.Traffic)
	switch {
	case own.State == StateLeft, r.Incarnation == own.Incarnation && r.State == StateAlive && !foreign:
		return false
	case r.Incarnation < own.Incarnation:
		return true
	case foreign || r.State == StateLeft || !sameLife(r.Incarnation, own.Incarnation):
		// Another process has or had this name. Its addresses must not stay with this one's incarnation.
		c.self.Incarnation = nextLife(r.Incarnation)
		if foreign && r.Live() {
			c.actions = append(c.actions, Conflict{Record: r})
		}
	default:
		c.self.Incarnation = r.Incarnation + 1
	}
	c.queue.put(own.ID, !sameLife(own.Incarnation, c.self.Incarnation))
	c.version++
	return true
}
