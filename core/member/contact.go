package member

import (
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// contactFanout is the largest number of contacts at a time.
const contactFanout = 4

// contacting is the state of the contacts of members believed dead and of seeds.
type contacting struct {
	last time.Time
	// round holds those still to be contacted before any is contacted again.
	round []contact
}

// contact is someone to be contacted; a seed that is no member has no identifier.
type contact struct {
	id ident.InstanceID
	to netip.AddrPort
}

// contact tries to reach members believed dead and seeds that are no live members, so that the two sides
// of a healed network partition find each other. The live instances share the work; few of them do
// more each, because an instance alone with ten dead ones would need 20 s for a round of single contacts.
func (c *Core) contact() {
	if c.now.Sub(c.contacting.last) < c.cfg.Contact {
		return
	}
	c.contacting.last = c.now
	all := c.contacts()
	sides := len(c.live("")) + 1
	for range min(contactFanout, (len(all)+sides-1)/sides) {
		c.reach(c.nextContact(all))
	}
}

// contacts returns all members believed dead and all seeds without a member.
func (c *Core) contacts() []contact {
	var out []contact
	for _, id := range c.ids {
		if e := c.members[id]; e.State == StateDead && e.Full() {
			out = append(out, contact{id: id, to: e.Peer})
		}
	}
	// The seed of a dead member is contacted as that member.
	for _, a := range c.seeds(func(id ident.InstanceID) bool { return c.members[id].State != StateLeft }) {
		out = append(out, contact{to: a})
	}
	return out
}

// nextContact returns the next of the round, and starts a new round with all when none is left.
func (c *Core) nextContact(all []contact) contact {
	for len(c.contacting.round) > 0 {
		x := c.contacting.round[0]
		c.contacting.round = c.contacting.round[1:]
		if slices.Contains(all, x) {
			return x
		}
	}
	c.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	c.contacting.round = slices.Clone(all[1:])
	return all[0]
}

func (c *Core) reach(x contact) {
	p := c.ping(x.id)
	p.Members = append([]Record{c.self}, p.Members[:min(len(p.Members), MaxRecords-1)]...)
	c.send(kindContact, x.id, x.to, p)
}
