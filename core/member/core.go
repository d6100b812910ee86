package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// entry is a member other than this instance.
type entry struct {
	Record
	// stateSince is when the state was entered.
	stateSince time.Time
	// raisedSuspicion says that this instance raised the suspicion, and so has to tell the member of it.
	raisedSuspicion bool
	lastNotified    time.Time
}

// Core is the membership of one instance. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	self Record
	now  time.Time
	// started is when the process started.
	started time.Time

	members map[ident.InstanceID]*entry
	// ids are the keys of members in byte order, because the order of a Go map is random.
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

// New returns the membership of an instance that starts now. The record is full and alive; its
// incarnation is that of FirstIncarnation.
func New(self Record, cfg Config, rng *rand.Rand, now time.Time) *Core {
	self.State = StateAlive
	c := &Core{
		cfg: cfg, rng: rng, self: self, now: now, started: now,
		members: make(map[ident.InstanceID]*entry),
		pings:   pendingPings{byID: make(map[PingID]*pendingPing)},
		queue:   updateQueue{tokens: cfg.GossipBurst, refilled: now},
		// Instances that start together would probe together.
		lastProbe:    now.Add(-time.Duration(rng.Int64N(int64(cfg.ProbeInterval)))),
		reconnecting: reconnecting{last: now},
		syncing:      syncing{next: now.Add(cfg.SyncInterval), delay: cfg.SyncInterval},
	}
	c.joining.done = len(c.seeds(func(ident.InstanceID) bool { return false })) == 0
	return c
}

// Handle applies the event and returns what is to be done.
func (c *Core) Handle(ev Event) []Action {
	c.actions = nil
	// Events from several goroutines may carry times that are a little out of order.
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

// Version grows with each change of a record.
func (c *Core) Version() uint64 { return c.version }

// Joined reports whether a seed's members were received, or no seed is known.
func (c *Core) Joined() bool { return c.joining.done }

// Members returns all known records in the order of their identifiers, this instance's included.
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
	c.expireMembers()
	if c.self.State == StateLeft {
		return
	}
	c.join()
	c.probe()
	c.reconnect()
	c.sync()
}

// extendDeadlines moves all deadlines by the time in which this instance did not run: others were not silent
// in that time, nobody asked them.
// It is called before the first event after a pause, because what that event starts has not waited yet.
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

// expireMembers declares suspects dead and forgets members that are gone for long.
func (c *Core) expireMembers() {
	var expired []ident.InstanceID
	for _, id := range c.ids {
		e := c.members[id]
		elapsed := c.now.Sub(e.stateSince)
		switch {
		case e.State == StateSuspect && elapsed >= c.cfg.DeadTimeout-c.cfg.SuspectTimeout:
			e.State, e.stateSince = StateDead, c.now
			// Whoever heard of the suspicion comes to the same end at about the same time.
			c.queue.addIfAbsent(id, c.transmissions())
			c.recordChanged(e)
		case e.State == StateSuspect && e.raisedSuspicion && c.now.Sub(e.lastNotified) >= c.cfg.ProbeInterval:
			e.lastNotified = c.now
			c.send(kindNotifySuspect, id, e.Peer, c.ping(id))
		case !e.Live() && elapsed >= c.cfg.Retention:
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		c.remove(id)
	}
}

// recordChanged notes that the record of a member is another one.
func (c *Core) recordChanged(e *entry) {
	c.version++
	c.actions = append(c.actions, RecordChanged{Record: e.Record})
}

func (c *Core) remove(id ident.InstanceID) {
	delete(c.members, id)
	c.ids = slices.DeleteFunc(c.ids, func(x ident.InstanceID) bool { return x == id })
	c.queue.remove(id)
	c.version++
}

// transmissions returns how many messages carry a record.
func (c *Core) transmissions() int {
	return transmissions(c.cfg.RetransmitFactor, len(c.ids)+1)
}

// liveMembers returns the members that are taken to be liveMembers, other than the given one, in the order of their
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

// sample returns up to n members out of es, chosen at random.
func (c *Core) sample(es []*entry, n int) []*entry {
	n = min(n, len(es))
	for i := range n {
		j := i + c.rng.IntN(len(es)-i)
		es[i], es[j] = es[j], es[i]
	}
	return es[:n]
}

// seeds returns the seed addresses but this instance's own and those of members for which known holds.
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
