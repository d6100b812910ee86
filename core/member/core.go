package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// entry is the state kept for a member other than this instance.
type entry struct {
	Record
	// stateSince is the time at which the member entered its state.
	stateSince time.Time
	// raisedSuspicion is set when this instance raised the suspicion. It then notifies the member.
	raisedSuspicion bool
	lastNotified    time.Time
}

// Core is the membership of one instance. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	self Record
	now  time.Time
	// started is the time at which the process started.
	started time.Time

	members map[ident.InstanceID]*entry
	// ids holds the keys of members in byte order, because the order of a Go map is random.
	ids     []ident.InstanceID
	queue   updateQueue
	version uint64

	pings             pendingPings
	probes            []*probe
	probeOrder        []ident.InstanceID
	lastProbe         time.Time
	joining           joining
	syncing           syncing
	reconnecting      reconnecting
	pendingLeavePings int

	actions []Action
}

// New returns the membership of an instance that starts now. The record must be full and its incarnation
// from FirstIncarnation.
func New(self Record, cfg Config, rng *rand.Rand, now time.Time) *Core {
	self.State = StateAlive
	c := &Core{
		cfg: cfg, rng: rng, self: self, now: now, started: now,
		members: make(map[ident.InstanceID]*entry),
		pings:   pendingPings{byID: make(map[PingID]*pendingPing)},
		queue:   updateQueue{tokens: cfg.GossipBurst, refilled: now},
		// The random offset keeps instances that start together from probing at the same time.
		lastProbe:    now.Add(-time.Duration(rng.Int64N(int64(cfg.ProbeInterval)))),
		reconnecting: reconnecting{last: now},
		syncing:      syncing{next: now.Add(cfg.SyncInterval), delay: cfg.SyncInterval},
	}
	c.joining.done = len(c.seeds(func(ident.InstanceID) bool { return false })) == 0
	return c
}

// Handle applies the event and returns the actions to execute.
func (c *Core) Handle(ev Event) []Action {
	c.actions = nil
	// Events from several goroutines may have timestamps that are slightly out of order.
	if t := ev.at(); t.After(c.now) {
		c.extendDeadlines(t.Sub(c.now))
		c.now = t
	}
	c.queue.refill(c.now, c.cfg.GossipRate, c.cfg.GossipBurst)
	ev.apply(c)
	return c.actions
}

// Self returns the record of this instance.
func (c *Core) Self() Record { return c.self }

// Version returns a number that increases with each change of a record.
func (c *Core) Version() uint64 { return c.version }

// Joined reports whether all members of a seed were received, or no seed is configured.
func (c *Core) Joined() bool { return c.joining.done }

// Members returns all known records, including that of this instance, in the order of their identifiers.
func (c *Core) Members() []Record {
	out := make([]Record, 0, len(c.ids)+1)
	for _, id := range c.ids {
		out = append(out, c.members[id].Record)
	}
	i, _ := slices.BinarySearch(c.ids, c.self.ID)
	return slices.Insert(out, i, c.self)
}

// Find returns the record of an instance.
func (c *Core) Find(id ident.InstanceID) (Record, bool) {
	if id == c.self.ID {
		return c.self, true
	}
	e, ok := c.members[id]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

func (e Tick) apply(c *Core) {
	c.expirePings()
	c.checkProbes()
	c.checkMembers()
	if c.self.State == StateLeft {
		return
	}
	c.join()
	c.probe()
	c.reconnect()
	c.sync()
}

// extendDeadlines moves all deadlines by the time for which this instance was paused, because members were
// not probed in that time. It runs before the first event after the pause: pings that this event sends
// need no extension.
func (c *Core) extendDeadlines(gap time.Duration) {
	if gap <= c.cfg.ProbeInterval {
		return
	}
	for _, x := range c.pings.byID {
		x.started = x.started.Add(gap)
	}
	for _, p := range c.probes {
		p.started = p.started.Add(gap)
	}
	for _, id := range c.ids {
		if e := c.members[id]; e.State == StateSuspect {
			e.stateSince = e.stateSince.Add(gap)
		}
	}
}

// checkMembers declares suspects dead after DeadTimeout, notifies the members that this instance suspects, and
// removes members that are not live after Retention.
func (c *Core) checkMembers() {
	var expired []ident.InstanceID
	for _, id := range c.ids {
		e := c.members[id]
		elapsed := c.now.Sub(e.stateSince)
		switch {
		case e.State == StateSuspect && elapsed >= c.cfg.DeadTimeout-c.cfg.SuspectTimeout:
			e.State, e.stateSince = StateDead, c.now
			// Members that know of the suspicion declare the death themselves at about the same time.
			c.queue.addIfAbsent(id, c.transmissions())
			c.emitRecordChanged(e)
		case e.State == StateSuspect && e.raisedSuspicion && c.now.Sub(e.lastNotified) >= c.cfg.ProbeInterval:
			e.lastNotified = c.now
			c.send(kindNotifySuspect, id, e.Peer, c.ping(id))
		case !e.Live() && elapsed >= c.cfg.Retention:
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		c.removeMember(id)
	}
}

// emitRecordChanged reports the changed record of a member.
func (c *Core) emitRecordChanged(e *entry) {
	c.version++
	c.actions = append(c.actions, RecordChanged{Record: e.Record})
}

func (c *Core) removeMember(id ident.InstanceID) {
	delete(c.members, id)
	c.ids = slices.DeleteFunc(c.ids, func(x ident.InstanceID) bool { return x == id })
	c.queue.remove(id)
	c.version++
}

// transmissions returns how many messages carry a record.
func (c *Core) transmissions() int {
	return transmissions(c.cfg.RetransmitFactor, len(c.ids)+1)
}

// liveMembers returns the live members with an address, except the given one, in the order of their
// identifiers.
func (c *Core) liveMembers(except ident.InstanceID) []*entry {
	out := make([]*entry, 0, len(c.ids))
	for _, id := range c.ids {
		if e := c.members[id]; id != except && e.Live() && e.Full() {
			out = append(out, e)
		}
	}
	return out
}

// sample returns up to n random members of es. It reorders es.
func (c *Core) sample(es []*entry, n int) []*entry {
	n = min(n, len(es))
	for i := range n {
		j := i + c.rng.IntN(len(es)-i)
		es[i], es[j] = es[j], es[i]
	}
	return es[:n]
}

// seeds returns the seed addresses, except this instance's own and those of members for which exclude returns
// true.
func (c *Core) seeds(exclude func(ident.InstanceID) bool) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(c.cfg.Seeds))
	for _, a := range c.cfg.Seeds {
		isExcluded := func(id ident.InstanceID) bool { return c.members[id].Peer == a && exclude(id) }
		if a != c.self.Peer && !slices.ContainsFunc(c.ids, isExcluded) {
			out = append(out, a)
		}
	}
	return out
}
