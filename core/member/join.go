package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// leaveFanout is the number of members that are told of a leave directly; gossip tells the rest.
const leaveFanout = 8

// startTime is the time after the start in which pages are asked for at a higher rate. When a whole fleet
// starts, seeds hand out pages before they know all; with one page per 2 s 60 instances took 48 s, and 120
// took 59 s as long as a page without news slowed down who knew fewer members than the sender.
const startTime = 30 * time.Second

// joining is the state of the join through a seed.
type joining struct {
	done bool
	// open says that a request is under way.
	open bool
	next time.Time
}

// syncing is the state of the requests for pages.
type syncing struct {
	next  time.Time
	delay time.Duration
	after ident.InstanceID
}

// join asks a seed for members until one gave all of them.
func (c *Core) join() {
	if c.joining.done || c.joining.open || c.now.Before(c.joining.next) {
		return
	}
	c.joining.next = c.now.Add(c.cfg.Interval)
	seeds := c.seeds(func(ident.InstanceID) bool { return false })
	c.pull(seeds[c.rng.IntN(len(seeds))], "")
}

// pull asks for the page of members after the identifier.
func (c *Core) pull(to netip.AddrPort, after ident.InstanceID) {
	p := c.ping("")
	p.Pull, p.After = true, after
	if after == "" {
		p.Members = []Record{c.self}
	}
	c.joining.open = true
	c.send(kindJoin, "", to, p)
}

// joinPage asks for the next page, or ends the join.
func (c *Core) joinPage(x *exchange, in Pong) {
	if last := lastOf(in); in.More && last != "" {
		c.pull(x.to, last)
		return
	}
	c.joining.open, c.joining.done = false, true
}

// lastOf returns the identifier after which the next page starts.
func lastOf(in Pong) ident.InstanceID {
	var last ident.InstanceID
	for i, r := range in.Members {
		if i < Page {
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
	for _, e := range c.sample(c.live(""), 1) {
		p := c.ping(e.ID)
		p.Pull, p.After = true, c.syncing.after
		c.send(kindSync, e.ID, e.Peer, p)
	}
}

// hurry has the next page asked for soon, and the ones after it while they bring news: instances that were
// out of reach are back, and members that are unknown here may have started on their side.
func (c *Core) hurry() {
	c.syncing.delay = c.cfg.Sync
	if next := c.now.Add(c.cfg.Sync); next.Before(c.syncing.next) {
		c.syncing.next = next
	}
}

// syncPage notes where the next page starts, and when to ask for it.
func (c *Core) syncPage(in Pong, fresh bool) {
	c.syncing.after = ""
	if in.More {
		c.syncing.after = lastOf(in)
	}
	if fresh || in.Count > len(c.live(""))+1 {
		c.syncing.delay = c.cfg.Sync
		if c.now.Sub(c.started) < startTime {
			c.syncing.delay = c.cfg.Interval
		}
		c.syncing.next = c.now.Add(c.syncing.delay)
		return
	}
	c.syncing.delay = min(2*c.syncing.delay, c.cfg.MaxSync)
}

func (e Leave) apply(c *Core) {
	if c.self.State == StateLeft {
		return
	}
	c.self.State = StateLeft
	c.probes = nil
	// Every message carries the record from now on.
	c.queue.drop(c.self.ID)
	c.version++
	told := c.sample(c.live(""), leaveFanout)
	if len(told) == 0 {
		c.actions = append(c.actions, Departed{})
	}
	c.pendingLeaves = len(told)
	for _, e := range told {
		c.send(kindFarewell, e.ID, e.Peer, c.ping(e.ID))
	}
}

// leaveAnswered counts a leave message that was answered or failed.
func (c *Core) leaveAnswered() {
	c.pendingLeaves--
	if c.pendingLeaves == 0 {
		c.actions = append(c.actions, Departed{})
	}
}
