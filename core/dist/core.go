package dist

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
)

// Core holds the distributed objects that one instance knows, and decides which calls it makes. It is not safe
// for concurrent use.
type Core struct {
	self     ident.InstanceID
	cfg      Config
	rng      *rand.Rand
	now      time.Time
	actions  []Action
	lastCall CallID
	members  []place.Instance
	// services holds the placement order of each known service.
	services     map[ident.ServiceName][]place.Instance
	serviceNames []ident.ServiceName
	entries      map[Key]*entry
	// sorted holds the entries in the order of their keys, because the order of a Go map is random.
	sorted  []*entry
	buckets [DigestBuckets]Digest
	// rolesStale is set when the roles have to be assigned again.
	rolesStale   bool
	reachability reachability
	comparison   comparison
	// startSpread is the time over which watches that were assigned together start.
	startSpread time.Duration
	peerCalls   map[CallID]*peerCall
	notices     []notice
	// shortWatch is the entry whose watch has the short wait, or nil.
	shortWatch *entry
}

// entry is the state of one object.
type entry struct {
	key Key
	// knownRevision is the newest revision learned from any instance. It is at least the object's.
	knownRevision ident.Revision
	// sender is the instance from which the known revision was learned.
	sender ident.InstanceID
	// object is the version in force here, or nil.
	object *Object
	// newestApplied is the newest revision that has been in force here. The object may have been dropped since.
	newestApplied ident.Revision
	// remainingSends is the number of heartbeats that still carry the known revision.
	remainingSends int
	// serves and watches are the roles of this instance.
	serves, watches bool
	// rank is the position of this instance among the watchers.
	rank int
	// idleSince is the time at which the instance lost its last role.
	idleSince time.Time
	watch     *watch
	fetch     fetchState
	store     storeState
}

// hasRole reports whether the instance serves or watches the object, and therefore keeps it.
func (e *entry) hasRole() bool { return e.serves || e.watches }

// New returns a Core without members, services and objects.
func New(self ident.InstanceID, cfg Config, rng *rand.Rand) *Core {
	c := &Core{
		self:       self,
		cfg:        cfg,
		rng:        rng,
		services:   make(map[ident.ServiceName][]place.Instance),
		entries:    make(map[Key]*entry),
		peerCalls:  make(map[CallID]*peerCall),
		rolesStale: true,
	}
	c.entry(CatalogKey())
	return c
}

// Handle applies the event and returns the actions to execute.
func (c *Core) Handle(now time.Time, ev Event) []Action {
	c.now, c.actions = now, nil
	ev.apply(c)
	c.step()
	return c.actions
}

// HandleRequest returns the response to a request from a peer, and the actions to execute.
func (c *Core) HandleRequest(now time.Time, from ident.InstanceID, r Request) (Reply, []Action) {
	c.now, c.actions = now, nil
	for _, rev := range r.Announced {
		c.learnRevision(rev, from)
	}
	reply := c.buildReply(r)
	c.step()
	return reply, c.actions
}

// Object returns the version in force here, or nil.
func (c *Core) Object(k Key) *Object {
	if e, ok := c.entries[k]; ok {
		return e.object
	}
	return nil
}

// PendingWatches returns the number of watches that wait at the platform.
func (c *Core) PendingWatches() int {
	n := 0
	for _, e := range c.sorted {
		if e.watch != nil && e.watch.pending {
			n++
		}
	}
	return n
}

func (Tick) apply(*Core) {}

func (ev MembersChanged) apply(c *Core) {
	joined := slices.ContainsFunc(ev.Members, func(n place.Instance) bool { return !slices.Contains(c.members, n) })
	c.members = slices.Clone(ev.Members)
	for n := range c.services {
		c.services[n] = place.Order(string(n), c.members)
	}
	c.rolesStale = true
	// New members, such as those on the other side of a healed partition, may not have this instance's report.
	if joined && c.reachability.offline {
		c.announceReachability()
	}
}

func (c *Core) step() {
	c.checkOverdue()
	c.expireReports()
	if c.rolesStale {
		c.assignRoles()
	}
	for _, e := range c.sorted {
		c.stepWatch(e)
		c.stepStore(e)
		c.stepDrop(e)
	}
	c.stepShortWatch()
	c.stepComparison()
	c.stepFetch()
	c.stepNotices()
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) nextCall() CallID {
	c.lastCall++
	return c.lastCall
}

// entry returns the entry of the key. It creates a missing one.
func (c *Core) entry(k Key) *entry {
	if e, ok := c.entries[k]; ok {
		return e
	}
	e := &entry{key: k, idleSince: c.now}
	c.entries[k] = e
	i, _ := slices.BinarySearchFunc(c.sorted, k, func(e *entry, k Key) int { return e.key.compare(k) })
	c.sorted = slices.Insert(c.sorted, i, e)
	return e
}

// removeEntry removes the entry of the key.
func (c *Core) removeEntry(k Key) {
	delete(c.entries, k)
	c.sorted = slices.DeleteFunc(c.sorted, func(e *entry) bool { return e.key == k })
}

// addService adds an unknown service with the entries of its objects.
func (c *Core) addService(n ident.ServiceName) {
	if _, ok := c.services[n]; ok {
		return
	}
	c.services[n] = place.Order(string(n), c.members)
	i, _ := slices.BinarySearch(c.serviceNames, n)
	c.serviceNames = slices.Insert(c.serviceNames, i, n)
	for _, k := range []Key{TableKey(n), StatusKey(n), ServerListKey(n)} {
		c.entry(k)
	}
	c.rolesStale = true
	c.emit(ServicesChanged{Services: slices.Clone(c.serviceNames)})
}

// assignRoles assigns the roles of this instance for each object.
func (c *Core) assignRoles() {
	c.rolesStale = false
	for _, n := range c.serviceNames {
		order := c.services[n]
		serves := slices.ContainsFunc(order[:min(c.cfg.ServingInstances, len(order))], c.isSelf)
		rank := slices.IndexFunc(c.watchers(order), c.isSelf)
		for _, k := range []Key{TableKey(n), StatusKey(n), ServerListKey(n)} {
			c.setRoles(c.entries[k], serves, rank)
		}
	}
	rank := slices.IndexFunc(c.watchers(place.Order(CatalogKey().String(), c.members)), c.isSelf)
	if rank < 0 && c.reachability.offline {
		// An instance without a watch would not notice that it reaches the platform again.
		rank = c.cfg.Watchers
	}
	c.setRoles(c.entries[CatalogKey()], false, rank)
	c.setStartSpread(func(e *entry) bool { return e.watches && e.watch == nil })
}

// setStartSpread sets startSpread by the number of entries for which starting returns true.
func (c *Core) setStartSpread(starting func(*entry) bool) {
	n := 0
	for _, e := range c.sorted {
		if starting(e) {
			n++
		}
	}
	c.startSpread = min(max(time.Duration(n)*c.cfg.SpreadPerWatch, c.cfg.MinSpread), c.cfg.MaxSpread)
}

func (c *Core) setRoles(e *entry, serves bool, rank int) {
	if e.hasRole() && !serves && rank < 0 {
		e.idleSince = c.now
	}
	e.serves, e.watches, e.rank = serves, rank >= 0, rank
}

func (c *Core) isSelf(n place.Instance) bool { return n.ID == c.self }

// watchers returns the instances that watch an object with the given placement order. The first ones always
// watch, because they have to notice that the platform is reachable again. For each of them that does not
// reach the platform, the next one that does is added.
func (c *Core) watchers(order []place.Instance) []place.Instance {
	out := slices.Clone(order[:min(c.cfg.Watchers, len(order))])
	online := 0
	for i, n := range order[:min(c.cfg.TakeoverDepth, len(order))] {
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

// stepDrop drops an object when the instance has had no role for it for the time of Retention.
func (c *Core) stepDrop(e *entry) {
	if e.object == nil || e.hasRole() || c.now.Sub(e.idleSince) < c.cfg.Retention {
		return
	}
	e.object = nil
	c.emit(DropObject{Key: e.key})
}

// applyObject puts the object in force if the instance keeps it and the version is newer. It reports whether
// the object was put in force and its revision was unknown before.
func (c *Core) applyObject(o Object, from ident.InstanceID) bool {
	isNew := c.learnRevision(ObjectRevision{Key: o.Key, Revision: o.Revision}, from)
	e, ok := c.entries[o.Key]
	if !ok || !e.hasRole() || o.Revision < e.newestApplied || (e.object != nil && o.Revision == e.newestApplied) {
		return false
	}
	e.object, e.newestApplied = &o, o.Revision
	e.fetch.tries = 0
	c.emit(ApplyObject{Object: o})
	if o.Key.Kind == KindTable && c.hasRollout(o.Key.Service()) {
		c.readStatusSoon(o.Key.Service())
	}
	return isNew
}

// backoff returns the exponential delay after the given number of failures: half of it fixed, half random.
func (c *Core) backoff(failures int, limit time.Duration) time.Duration {
	d := limit
	if shift := failures - 1; shift < 16 {
		d = min(limit, c.cfg.BackoffBase<<max(shift, 0))
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
