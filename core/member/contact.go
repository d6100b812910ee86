package member

import (
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// maxReconnects is the largest number of contacts at a time.
const maxReconnects = 4

// reconnecting is the state of the contacts of members believed dead and of seeds.
type reconnecting struct {
	last time.Time
	// remaining holds those still to be contacted before any is contacted again.
	remaining []reconnectTarget
}

// reconnectTarget is someone to be contacted; a seed that is no member has no identifier.
type reconnectTarget struct {
	id   ident.InstanceID
	addr netip.AddrPort
}

// reconnect tries to reach members believed dead and seeds that are no live members, so that the two sides
// of a healed network partition find each other. The live instances share the work; few of them do
// more each, because an instance alone with ten dead ones would need 20 s for a round of single contacts.
func (c *Core) reconnect() {
	if c.now.Sub(c.reconnecting.last) < c.cfg.ReconnectInterval {
		return
	}
	c.reconnecting.last = c.now
	all := c.reconnectTargets()
	live := len(c.liveMembers("")) + 1
	for range min(maxReconnects, (len(all)+live-1)/live) {
		c.sendReconnect(c.nextReconnect(all))
	}
}

// reconnectTargets returns all members believed dead and all seeds without a member.
func (c *Core) reconnectTargets() []reconnectTarget {
	var out []reconnectTarget
	for _, id := range c.ids {
		if e := c.members[id]; e.State == StateDead && e.Full() {
			out = append(out, reconnectTarget{id: id, addr: e.Peer})
		}
	}
	// The seed of a dead member is contacted as that member.
	for _, a := range c.seeds(func(id ident.InstanceID) bool { return c.members[id].State != StateLeft }) {
		out = append(out, reconnectTarget{addr: a})
	}
	return out
}

// nextReconnect returns the next of the round, and starts a new round with all when none is left.
func (c *Core) nextReconnect(all []reconnectTarget) reconnectTarget {
	for len(c.reconnecting.remaining) > 0 {
		x := c.reconnecting.remaining[0]
		c.reconnecting.remaining = c.reconnecting.remaining[1:]
		if slices.Contains(all, x) {
			return x
		}
	}
	c.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	c.reconnecting.remaining = slices.Clone(all[1:])
	return all[0]
}

func (c *Core) sendReconnect(x reconnectTarget) {
	p := c.ping(x.id)
	p.Members = append([]Record{c.self}, p.Members[:min(len(p.Members), MaxRecords-1)]...)
	c.send(kindReconnect, x.id, x.addr, p)
}
