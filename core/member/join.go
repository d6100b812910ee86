package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// leaveFanout is the number of members that are told of a leave directly; gossip tells the rest.
const leaveFanout = 8

// startupPeriod is the time after the start in which pages are asked for at a higher rate. When a whole fleet
// starts, seeds hand out pages before they know all; with one page per 2 s 60 instances took 48 s, and 120
// took 59 s as long as a page without news slowed down who knew fewer members than the sender.
const startupPeriod = 30 * time.Second

// joining is the state of the join through a seed.
type joining struct {
	done bool
	// requested says that a request is under way.
	requested bool
	next      time.Time
}

// syncing is the state of the requests for pages.
type syncing struct {
	next  time.Time
	delay time.Duration
	after ident.InstanceID
}

// join asks a seed for members until one gave all of them.
func (c *Core) join() {
	if c.joining.done || c.joining.requested || c.now.Before(c.joining.next) {
		return
	}
	c.joining.next = c.now.Add(c.cfg.ProbeInterval)
	seeds := c.seeds(func(ident.InstanceID) bool { return false })
	c.requestJoinPage(seeds[c.rng.IntN(len(seeds))], "")
}

// requestJoinPage asks for the page of members after the identifier.
func (c *Core) requestJoinPage(to netip.AddrPort, after ident.InstanceID) {
	p := c.ping("")
	p.Pull, p.After = true, after
	if after == "" {
		p.Members = []Record{c.self}
	}
	c.joining.requested = true
	c.send(kindJoin, "", to, p)
}

// handleJoinPage asks for the next page, or ends the join.
func (c *Core) handleJoinPage(x *pendingPing, in Pong) {
	if last := lastPageID(in); in.More && last != "" {
		c.requestJoinPage(x.addr, last)
		return
	}
	c.joining.requested, c.joining.done = false, true
}

// lastPageID returns the identifier after which the next page starts.
func lastPageID(in Pong) ident.InstanceID {
	var last ident.InstanceID
	for i, r := range in.Members {
		if i < PageSize {
			last = max(last, r.ID)
		}
	}
	return last
}

// sync asks a random member for a page, which repairs what gossip did not bring.
func (c *Core) sync() {
	if c.now.Before(c.syncing.next) {
		return
	}
	c.syncing.next = c.now.Add(c.syncing.delay)
	for _, e := range c.sample(c.liveMembers(""), 1) {
		p := c.ping(e.ID)
		p.Pull, p.After = true, c.syncing.after
		c.send(kindSync, e.ID, e.Peer, p)
	}
}

// syncSoon has the next page asked for soon, and the ones after it while they bring news: instances that were
// out of reach are back, and members that are unknown here may have started on their side.
func (c *Core) syncSoon() {
	c.syncing.delay = c.cfg.SyncInterval
	if next := c.now.Add(c.cfg.SyncInterval); next.Before(c.syncing.next) {
		c.syncing.next = next
	}
}

// handleSyncPage notes where the next page starts, and when to ask for it.
func (c *Core) handleSyncPage(in Pong, fresh bool) {
	c.syncing.after = ""
	if in.More {
		c.syncing.after = lastPageID(in)
	}
	if fresh || in.LiveMembers > len(c.liveMembers(""))+1 {
		c.syncing.delay = c.cfg.SyncInterval
		if c.now.Sub(c.started) < startupPeriod {
			c.syncing.delay = c.cfg.ProbeInterval
		}
		c.syncing.next = c.now.Add(c.syncing.delay)
		return
	}
	c.syncing.delay = min(2*c.syncing.delay, c.cfg.MaxSyncInterval)
}

func (e LeaveRequested) apply(c *Core) {
	if c.self.State == StateLeft {
		return
	}
	c.self.State = StateLeft
	c.probes = nil
	// Every message carries the record from now on.
	c.queue.remove(c.self.ID)
	c.version++
	receivers := c.sample(c.liveMembers(""), leaveFanout)
	if len(receivers) == 0 {
		c.actions = append(c.actions, LeaveCompleted{})
	}
	c.pendingLeavePings = len(receivers)
	for _, e := range receivers {
		c.send(kindLeave, e.ID, e.Peer, c.ping(e.ID))
	}
}

// leavePingDone counts a leave message that was answered or failed.
func (c *Core) leavePingDone() {
	c.pendingLeavePings--
	if c.pendingLeavePings == 0 {
		c.actions = append(c.actions, LeaveCompleted{})
	}
}
