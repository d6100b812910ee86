package member

import (
	"net/netip"
	"time"

	"goldcreststand.example/core/ident"
)

// leaveFanout is the number of members that are notified of a leave directly. Gossip informs the others.
const leaveFanout = 8

// startupPeriod is the time after the start in which pages are requested at a higher rate. When a whole
// fleet starts, seeds send pages before they know all members. With one page per 2 s, 60 instances take 48 s
// to learn of each other. 120 instances take 59 s if a page without new records also increases the interval of
// an instance that knows fewer members than the sender.
const startupPeriod = 30 * time.Second

// joining is the state of joining through a seed.
type joining struct {
	done bool
	// requested is set while a request to a seed is pending.
	requested bool
	next      time.Time
}

// syncing is the state of the periodic requests for pages.
type syncing struct {
	next  time.Time
	delay time.Duration
	after ident.InstanceID
}

// join requests pages from a random seed until one seed has sent all of its members.
func (c *Core) join() {
	if c.joining.done || c.joining.requested || c.now.Before(c.joining.next) {
		return
	}
	c.joining.next = c.now.Add(c.cfg.ProbeInterval)
	seeds := c.seeds(func(ident.InstanceID) bool { return false })
	c.requestJoinPage(seeds[c.rng.IntN(len(seeds))], "")
}

// requestJoinPage requests the page of members after the identifier.
func (c *Core) requestJoinPage(to netip.AddrPort, after ident.InstanceID) {
	p := c.ping("")
	p.Pull, p.After = true, after
	if after == "" {
		p.Members = []Record{c.self}
	}
	c.joining.requested = true
	c.send(kindJoin, "", to, p)
}

// handleJoinPage requests the next page or, after the last one, ends the join.
func (c *Core) handleJoinPage(x *pendingPing, in Pong) {
	if last := lastRecordID(in); in.More && last != "" {
		c.requestJoinPage(x.addr, last)
		return
	}
	c.joining.requested, c.joining.done = false, true
}

// lastRecordID returns the identifier after which the next page starts.
func lastRecordID(in Pong) ident.InstanceID {
	var last ident.InstanceID
	for i, r := range in.Members {
		if i < PageSize {
			last = max(last, r.ID)
		}
	}
	return last
}

// sync requests a page from a random live member. It delivers records that gossip missed.
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

// syncSoon resets the interval between page requests. It is called when a dead member is live again: after a
// network partition, unknown members may have started on the other side.
func (c *Core) syncSoon() {
	c.syncing.delay = c.cfg.SyncInterval
	if next := c.now.Add(c.cfg.SyncInterval); next.Before(c.syncing.next) {
		c.syncing.next = next
	}
}

// handleSyncPage determines where the next page starts and when to request it.
func (c *Core) handleSyncPage(in Pong, fresh bool) {
	c.syncing.after = ""
	if in.More {
		c.syncing.after = lastRecordID(in)
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
	// Every message carries the record from now on, so it needs no place in the queue.
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

// leavePingDone counts a kindLeave ping that was answered or failed.
func (c *Core) leavePingDone() {
	c.pendingLeavePings--
	if c.pendingLeavePings == 0 {
		c.actions = append(c.actions, LeaveCompleted{})
	}
}
