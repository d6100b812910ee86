package member

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// probe is a probe of one member that has not ended.
type probe struct {
	subject     ident.InstanceID
	incarnation ident.Incarnation
	started     time.Time
	// indirect is set after other members were asked to probe.
	indirect bool
}

// probe starts a probe once per ProbeInterval. Members are probed round robin in random order (SWIM, section
// 4.3), which bounds the time until each one is probed.
func (c *Core) probe() {
	if c.now.Sub(c.lastProbe) < c.cfg.ProbeInterval {
		return
	}
	// Adding a fixed interval keeps the probe rate when ticks are late.
	c.lastProbe = latest(c.lastProbe.Add(c.cfg.ProbeInterval), c.now.Add(-c.cfg.ProbeInterval))
	e := c.nextProbeTarget()
	if e == nil {
		return
	}
	c.probes = append(c.probes, &probe{subject: e.ID, incarnation: e.Incarnation, started: c.now})
	c.send(kindProbe, e.ID, e.Peer, c.ping(e.ID))
}

// nextProbeTarget returns the next member to probe, or nil when there is none.
func (c *Core) nextProbeTarget() *entry {
	for range 2 {
		for len(c.probeOrder) > 0 {
			id := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if e, ok := c.members[id]; ok && e.Live() && e.Full() && !c.probing(id) {
				return e
			}
		}
		c.probeOrder = slices.Clone(c.ids)
		c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return nil
}

func (c *Core) probing(id ident.InstanceID) bool {
	return slices.ContainsFunc(c.probes, func(p *probe) bool { return p.subject == id })
}

// checkProbes starts indirect probes of members that have not responded within half of SuspectTimeout, and
// suspects those that have not responded within all of it.
func (c *Core) checkProbes() {
	for _, p := range slices.Clone(c.probes) {
		elapsed := c.now.Sub(p.started)
		if elapsed >= c.cfg.SuspectTimeout/2 && !p.indirect {
			c.probeIndirectly(p.subject)
		}
		if elapsed >= c.cfg.SuspectTimeout {
			c.endProbe(p.subject)
			c.suspect(p)
		}
	}
}

// probeIndirectly asks random members to probe the member.
func (c *Core) probeIndirectly(id ident.InstanceID) {
	i := slices.IndexFunc(c.probes, func(p *probe) bool { return p.subject == id })
	if i < 0 || c.probes[i].indirect {
		return
	}
	c.probes[i].indirect = true
	for _, e := range c.sample(c.liveMembers(id), c.cfg.IndirectProbes) {
		p := c.ping(e.ID)
		p.Target = id
		c.send(kindProbeRequest, id, e.Peer, p)
	}
}

// endProbe ends the probe of the member.
func (c *Core) endProbe(id ident.InstanceID) {
	c.probes = slices.DeleteFunc(c.probes, func(p *probe) bool { return p.subject == id })
}

func (c *Core) suspect(p *probe) {
	e, ok := c.members[p.subject]
	if !ok || e.State != StateAlive || e.Incarnation != p.incarnation || c.self.State == StateLeft {
		return
	}
	e.State, e.stateSince, e.raisedSuspicion, e.lastNotified = StateSuspect, c.now, true, c.now
	c.queue.add(e.ID, false)
	c.emitRecordChanged(e)
	c.send(kindNotifySuspect, e.ID, e.Peer, c.ping(e.ID))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
