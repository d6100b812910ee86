package dist

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
)

// Core holds what one instance knows of the distributed objects and decides what to do. It is not safe
// for concurrent use.
type Core struct {
	self  ident.InstanceID
	cfg   Config
	rng   *rand.Rand
	now   time.Time
	out   []Action
	call  Call
	nodes []place.Instance
	// services holds the placement order of each known service.
	services map[ident.ServiceName][]place.Instance
	names    []ident.ServiceName
	entries  map[Key]*entry
	// list holds the entries in the order of their keys, so that decisions don't depend on a map's order.
	list    []*entry
	buckets [Buckets]Digest
	// stale says that roles have to be decided anew.
	stale   bool
	reach   reach
	compare compare
	// spread is the time over which watches start that were assigned together.
	spread  time.Duration
	calls   map[Call]*fetch
	notices []notice
	// short is the entry whose watch has the short wait, or nil.
	short *entry
}

// entry is what the instance knows of one object.
type entry struct {
	key Key
	// known is the newest revision that any instance told of. It is at least the object's.
	known ident.Revision
	// sender is the instance that told of the known revision.
	sender ident.InstanceID
	// object is the version in force here, or nil.
	object *Object
	// newest is the newest revision that has been in force here; the object may have been dropped since.
	newest ident.Revision
	// sends is the number of heartbeats that still carry the known revision.
	sends int
	// serves and watches are the roles of this instance.
	serves, watches bool
	// rank is the place of this instance among the watchers.
	rank int
	// idle is the time since which the instance has had neither role.
	idle  time.Time
	watch *watch
	ask   ask
	store store
}

// keeps reports whether the instance keeps the object.
func (e *entry) keeps() bool { return e.serves || e.watches }

// New returns the core of an instance that knows nothing yet.
func New(self ident.InstanceID, cfg Config, rng *rand.Rand) *Core {
	c := &Core{
		self:     self,
		cfg:      cfg,
		rng:      rng,
		services: make(map[ident.ServiceName][]place.Instance),
		entries:  make(map[Key]*entry),
		calls:    make(map[Call]*fetch),
		stale:    true,
	}
	c.entry(CatalogKey())
	return c
}

// Handle applies the event that happened now and returns what is to be done.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.now, c.out = now, nil
	ev.apply(c)
	c.step()
	return c.out
}

// Answer responds to a request of a peer that arrived now, and returns what is to be done.
func (c *Core) Answer(now time.Time, from ident.InstanceID, r Request) (Reply, []Action) {
	c.now, c.out = now, nil
	for _, h := range r.News {
		c.learn(h, from)
	}
	reply := c.reply(r)
	c.step()
	return reply, c.out
}

// Object returns the version in force here, or nil.
func (c *Core) Object(k Key) *Object {
	if e, ok := c.entries[k]; ok {
		return e.object
	}
	return nil
}

// Pending returns the number of calls of the platform that wait.
func (c *Core) Pending() int {
	n := 0
	for _, e := range c.list {
		if e.watch != nil && e.watch.pending {
			n++
		}
	}
	return n
}

func (Tick) apply(*Core) {}

func (ev Members) apply(c *Core) {
	joined := slices.ContainsFunc(ev.Nodes, func(n place.Instance) bool { return !slices.Contains(c.nodes, n) })
	c.nodes = slices.Clone(ev.Nodes)
	for n := range c.services {
		c.services[n] = place.Order(string(n), c.nodes)
	}
	c.stale = true
	// Those that join, such as the other side of a partition, may not know the report of this instance.
	if joined && c.reach.offline {
		c.announceReach()
	}
}

func (c *Core) step() {
	c.checkOverdue()
	c.expireReach()
	if c.stale {
		c.assign()
	}
	for _, e := range c.list {
		c.stepWatch(e)
		c.stepStore(e)
		c.stepDrop(e)
	}
	c.stepShort()
	c.stepCompare()
	c.stepFetch()
	c.stepNotices()
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) nextCall() Call {
	c.call++
	return c.call
}

// entry returns the entry of the key and creates it when it is new.
func (c *Core) entry(k Key) *entry {
	if e, ok := c.entries[k]; ok {
		return e
	}
	e := &entry{key: k, idle: c.now}
	c.entries[k] = e
	i, _ := slices.BinarySearchFunc(c.list, k, func(e *entry, k Key) int { return e.key.compare(k) })
	c.list = slices.Insert(c.list, i, e)
	return e
}

// forget removes the entry of the key.
func (c *Core) forget(k Key) {
	delete(c.entries, k)
	c.list = slices.DeleteFunc(c.list, func(e *entry) bool { return e.key == k })
}

// addService makes the service known.
func (c *Core) addService(n ident.ServiceName) {
	if _, ok := c.services[n]; ok {
		return
	}
	c.services[n] = place.Order(string(n), c.nodes)
	i, _ := slices.BinarySearch(c.names, n)
	c.names = slices.Insert(c.names, i, n)
	for _, k := range []Key{TableKey(n), StatusKey(n), ListingKey(n)} {
		c.entry(k)
	}
	c.stale = true
	c.do(Catalog{Services: slices.Clone(c.names)})
}

// assign decides the roles of this instance for each object.
func (c *Core) assign() {
	c.stale = false
	for _, n := range c.names {
		order := c.services[n]
		serves := slices.ContainsFunc(order[:min(c.cfg.Serving, len(order))], c.isSelf)
		rank := slices.IndexFunc(c.watchers(order), c.isSelf)
		for _, k := range []Key{TableKey(n), StatusKey(n), ListingKey(n)} {
			c.setRoles(c.entries[k], serves, rank)
		}
	}
	rank := slices.IndexFunc(c.watchers(place.Order(CatalogKey().String(), c.nodes)), c.isSelf)
	if rank < 0 && c.reach.offline {
		// An instance without any watch still has to notice that it reaches the platform again.
		rank = c.cfg.Watchers
	}
	c.setRoles(c.entries[CatalogKey()], false, rank)
	c.setSpread(func(e *entry) bool { return e.watches && e.watch == nil })
}

// setSpread sets the time over which the watches of the entries start.
func (c *Core) setSpread(starts func(*entry) bool) {
	n := 0
	for _, e := range c.list {
		if starts(e) {
			n++
		}
	}
	c.spread = min(max(time.Duration(n)*c.cfg.PerWatch, c.cfg.MinSpread), c.cfg.MaxSpread)
}

func (c *Core) setRoles(e *entry, serves bool, rank int) {
	if e.keeps() && !serves && rank < 0 {
		e.idle = c.now
	}
	e.serves, e.watches, e.rank = serves, rank >= 0, rank
}

func (c *Core) isSelf(n place.Instance) bool { return n.ID == c.self }

// watchers returns the instances that watch an object with the placement order. The first ones always
// try, so that they notice when the platform is back. For each of them that does not reach the
// platform the next one that does takes over.
func (c *Core) watchers(order []place.Instance) []place.Instance {
	out := slices.Clone(order[:min(c.cfg.Watchers, len(order))])
	online := 0
	for i, n := range order[:min(c.cfg.Depth, len(order))] {
		if online == c.cfg.Watchers {
			break
		}
		if c.isOffline(n.ID) {
			continue
		}
		online++
		if i >= c.cfg.Watchers {
			out = append(out, n)
		}
	}
	return out
}

// stepDrop drops an object when the instance has had no role for it for long enough.
func (c *Core) stepDrop(e *entry) {
	if e.object == nil || e.keeps() || c.now.Sub(e.idle) < c.cfg.KeepFor {
		return
	}
	e.object = nil
	c.do(Drop{Key: e.key})
}

// adopt puts the object in force when it is newer, and reports whether it was.
func (c *Core) adopt(o Object, from ident.InstanceID) bool {
	fresh := c.learn(Held{Key: o.Key, Revision: o.Revision}, from)
	e, ok := c.entries[o.Key]
	if !ok || !e.keeps() || o.Revision < e.newest || (e.object != nil && o.Revision == e.newest) {
		return false
	}
	e.object, e.newest = &o, o.Revision
	e.ask.tries = 0
	c.do(Adopt{Object: o})
	if o.Key.Kind == KindTable && c.moves(o.Key.Service()) {
		c.hurryStatus(o.Key.Service())
	}
	return fresh
}

// backoff returns the delay after the given number of failures: half of it fixed, half of it random.
func (c *Core) backoff(failures int, limit time.Duration) time.Duration {
	d := limit
	if shift := failures - 1; shift < 16 {
		d = min(limit, c.cfg.Base<<max(shift, 0))
	}
	return d/2 + c.jitter(d/2)
}

// jitter returns a random duration below d.
func (c *Core) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}
