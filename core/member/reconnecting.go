package member

import (
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// maxReconnects is the largest number of attempts per ReconnectInterval.
const maxReconnects = 4

// reconnecting is the state of the attempts to reach dead members and seeds.
type reconnecting struct {
	last time.Time
	// remaining holds the targets of the current round that have not been tried yet.
	remaining []reconnectTarget
}

// reconnectTarget is an address to try. The identifier is empty for a seed that is not a member.
type reconnectTarget struct {
	id   ident.InstanceID
	addr netip.AddrPort
}

// reconnect pings dead members and seeds without a live member. This rejoins the sides of a healed network
// partition. The live instances share the targets, so each tries more of them when fewer are live: with one
// attempt per interval an instance alone with ten dead members would need 20 s for a round.
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

// reconnectTargets returns all dead members and all seeds without a member.
func (c *Core) reconnectTargets() []reconnectTarget {
	var out []reconnectTarget
	for _, id := range c.ids {
		if e := c.members[id]; e.State == StateDead && e.Full() {
			out = append(out, reconnectTarget{id: id, addr: e.Peer})
		}
	}
	// A seed address of a dead member is already in the list under that member.
	for _, a := range c.seeds(func(id ident.InstanceID) bool { return c.members[id].State != StateLeft }) {
		out = append(out, reconnectTarget{addr: a})
	}
	return out
}

// nextReconnect returns the next target of the round. When none is left it starts a new round with all targets.
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
