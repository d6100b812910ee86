package member

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// probe is the check of one member.
type probe struct {
	subject     ident.InstanceID
	incarnation ident.Incarnation
	started     time.Time
	// asked says that others were asked to probe.
	asked bool
}

// probe starts the probe that is due. Members are probed round robin in random order (SWIM, section
// 4.3), which bounds the time until each one is probed.
func (c *Core) probe() {
	if c.now.Sub(c.probed) < c.cfg.Interval {
		return
	}
	// A fixed step keeps the rate although ticks come late.
	c.probed = later(c.probed.Add(c.cfg.Interval), c.now.Add(-c.cfg.Interval))
	e := c.next()
	if e == nil {
		return
	}
	c.probes = append(c.probes, &probe{subject: e.ID, incarnation: e.Incarnation, started: c.now})
	c.send(kindProbe, e.ID, e.Peer, c.ping(e.ID))
}

// next returns the next member to probe, or nil when there is none.
func (c *Core) next() *entry {
	for range 2 {
		for len(c.rounds) > 0 {
			id := c.rounds[0]
			c.rounds = c.rounds[1:]
			if e, ok := c.members[id]; ok && e.Live() && e.Full() && !c.probing(id) {
				return e
			}
		}
		c.rounds = slices.Clone(c.ids)
		c.rng.Shuffle(len(c.rounds), func(i, j int) { c.rounds[i], c.rounds[j] = c.rounds[j], c.rounds[i] })
	}
	return nil
}

func (c *Core) probing(id ident.InstanceID) bool {
	return slices.ContainsFunc(c.probes, func(p *probe) bool { return p.subject == id })
}

// judge asks others about probes without a response, then suspects.
func (c *Core) judge() {
	for _, p := range slices.Clone(c.probes) {
		past := c.now.Sub(p.started)
		if past >= c.cfg.Suspect/2 && !p.asked {
			c.askOthers(p.subject)
		}
		if past >= c.cfg.Suspect {
			c.acknowledge(p.subject)
			c.suspect(p)
		}
	}
}

// askOthers has others probe the subject.
func (c *Core) askOthers(id ident.InstanceID) {
	i := slices.IndexFunc(c.probes, func(p *probe) bool { return p.subject == id })
	if i < 0 || c.probes[i].asked {
		return
	}
	c.probes[i].asked = true
	for _, e := range c.sample(c.live(id), c.cfg.Indirect) {
		p := c.ping(e.ID)
		p.Target = id
		c.send(kindIndirect, id, e.Peer, p)
	}
}

// acknowledge ends the probe of the member.
func (c *Core) acknowledge(id ident.InstanceID) {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p.subject == id })
}

func (c *Core) suspect(p *probe) {
	e, ok := c.members[p.subject]
	if !ok || e.State != StateAlive || e.Incarnation != p.incarnation || c.self.State == StateLeft {
		return
	}
	e.State, e.since, e.suspector, e.notified = StateSuspect, c.now, true, c.now
	c.queue.put(e.ID, false)
	c.changed(e)
	c.send(kindNotify, e.ID, e.Peer, c.ping(e.ID))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
