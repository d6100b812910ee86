package dist

import (
	"math/bits"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// ask is the state of the calls of peers for one object.
type ask struct {
	call  Call
	tries int
	at    time.Time
}

// fetch is a call of a peer that has not ended.
type fetch struct {
	to      ident.InstanceID
	until   time.Time
	want    []Key
	compare bool
	notice  *notice
}

// notice is news for one peer that it has not confirmed.
type notice struct {
	to    ident.InstanceID
	news  []Held
	tries int
	at    time.Time
}

// compare is the state of the comparison of digests.
type compare struct {
	// done says that one comparison has succeeded.
	done    bool
	pending bool
	at      time.Time
	// differ is the time since which all peers' digests have differed, or zero.
	differ time.Time
	fails  int
}

// learn takes a revision that an instance told of, and reports whether it is news.
func (c *Core) learn(h Held, from ident.InstanceID) bool {
	if h.Key.Kind == KindCatalog {
		return false
	}
	e, ok := c.entries[h.Key]
	known := ok && (e.known > 0 || h.Key.Kind == KindTable)
	if known && h.Revision <= e.known || h.Revision == 0 && h.Key.Kind != KindTable {
		return false
	}
	if h.Key.Kind == KindTable {
		c.addService(h.Key.Service())
	}
	e = c.entry(h.Key)
	if h.Key.Kind != KindReach {
		if known {
			c.toggle(h.Key, e.known)
		}
		c.toggle(h.Key, h.Revision)
	}
	e.known, e.sender = h.Revision, from
	e.sends = 3 * bits.Len(uint(len(c.nodes)))
	if h.Key.Kind == KindReach {
		c.learnReach(e, from)
	}
	return true
}

func (c *Core) toggle(k Key, r ident.Revision) {
	d, b := hash(k, r)
	c.buckets[b] ^= d
}

// Digest returns the digest over all that this instance knows.
func (c *Core) Digest() Digest {
	var d Digest
	for i, b := range c.buckets {
		d ^= Digest(bits.RotateLeft64(uint64(b), i))
	}
	return d
}

// Gossip returns the revisions and the digest for the next heartbeat: the news that was sent least often.
// Each is sent a number of times that grows with the logarithm of the number of instances.
func (c *Core) Gossip() ([]Held, Digest) {
	var fresh []*entry
	for _, e := range c.list {
		if e.sends > 0 {
			fresh = append(fresh, e)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return b.sends - a.sends })
	fresh = fresh[:min(MaxGossip, len(fresh))]
	held := make([]Held, len(fresh))
	for i, e := range fresh {
		e.sends--
		held[i] = Held{Key: e.key, Revision: e.known}
	}
	return held, c.Digest()
}

func (ev Heard) apply(c *Core) {
	for _, h := range ev.Held {
		c.learn(h, ev.From)
	}
	switch {
	case ev.Digest == c.Digest():
		c.compare.differ = time.Time{}
	case c.compare.differ.IsZero():
		c.compare.differ = c.now
	case c.now.Sub(c.compare.differ) >= c.cfg.CompareDelay && c.now.After(c.compare.at):
		c.startCompare(ev.From)
	}
}

// stepCompare compares with any peer at start-up, when this instance knows nothing.
func (c *Core) stepCompare() {
	if c.compare.done || c.compare.pending || c.now.Before(c.compare.at) || len(c.nodes) < 2 {
		return
	}
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	if !c.isSelf(n) {
		c.startCompare(n.ID)
	}
}

func (c *Core) startCompare(to ident.InstanceID) {
	if c.compare.pending {
		return
	}
	c.compare.pending = true
	c.compare.at = c.now.Add(c.backoff(1, c.cfg.CompareDelay))
	c.send(&fetch{to: to, compare: true}, Request{Buckets: slices.Clone(c.buckets[:])})
}

func (c *Core) send(f *fetch, r Request) {
	call := c.nextCall()
	f.until = c.now.Add(c.cfg.FetchTimeout)
	c.calls[call] = f
	for _, k := range f.want {
		c.entries[k].ask.call = call
	}
	c.do(Fetch{To: f.to, Call: call, Request: r})
}

// reply returns what the request asks for and this instance has.
func (c *Core) reply(r Request) Reply {
	var out Reply
	rows := 0
	for _, h := range r.Want[:min(MaxWant, len(r.Want))] {
		e, ok := c.entries[h.Key]
		if !ok || e.object == nil || (e.object.Revision <= h.Revision && h.Revision > 0) {
			continue
		}
		// What is left out is asked for again.
		if rows += e.object.rows(); rows > maxRows && len(out.Objects) > 0 {
			break
		}
		out.Objects = append(out.Objects, *e.object)
	}
	if len(r.Buckets) != Buckets {
		return out
	}
	for _, e := range c.list {
		_, b := hash(e.key, e.known)
		shared := e.known > 0 || e.key.Kind == KindTable
		if len(out.Held) == maxHeld {
			break
		}
		if shared && (e.key.Kind == KindReach || c.buckets[b] != r.Buckets[b]) {
			out.Held = append(out.Held, Held{Key: e.key, Revision: e.known})
		}
	}
	return out
}

func (ev Fetched) apply(c *Core) {
	for _, h := range ev.Reply.Held {
		if c.learn(h, ev.From) {
			// Most others know it already; whoever does not compares too.
			e := c.entries[h.Key]
			e.sends = min(e.sends, comparedSends)
		}
	}
	for _, o := range ev.Reply.Objects {
		c.adopt(o, ev.From)
	}
	f, ok := c.calls[ev.Call]
	if !ok {
		return
	}
	if f.compare {
		c.compare.done, c.compare.fails = true, 0
	}
	c.endFetch(ev.Call, f)
}

func (ev FetchFailed) apply(c *Core) {
	if f, ok := c.calls[ev.Call]; ok {
		c.failFetch(ev.Call, f)
	}
}

func (c *Core) failFetch(call Call, f *fetch) {
	if f.compare {
		c.compare.fails++
		c.compare.at = c.now.Add(c.backoff(c.compare.fails, c.cfg.Cap))
	}
	if n := f.notice; n != nil && n.tries < maxNotices {
		n.at = c.now.Add(c.jitter(c.cfg.Base))
		c.notices = append(c.notices, *n)
	}
	c.endFetch(call, f)
}

// endFetch forgets the call. What it did not bring is asked of another peer, which may well have it; the
// delay grows only after several tries.
func (c *Core) endFetch(call Call, f *fetch) {
	delete(c.calls, call)
	if f.compare {
		c.compare.pending = false
	}
	for _, k := range f.want {
		e := c.entries[k]
		if e.ask.call != call {
			continue
		}
		e.ask.call = 0
		if c.lags(e) {
			e.ask.tries++
			e.ask.at = c.now.Add(c.backoff(max(1, e.ask.tries-fastTries), c.cfg.Cap))
		}
	}
}

// lags reports whether the instance needs a version that a peer has told of.
func (c *Core) lags(e *entry) bool {
	switch e.key.Kind {
	case KindReach, KindCatalog:
		return false
	case KindTable, KindStatus, KindListing:
	}
	return (e.serves || e.watches) && e.known > 0 && (e.object == nil || e.object.Revision < e.known)
}

// stepFetch asks peers for the versions that the instance lacks, and ends calls that have timed out.
func (c *Core) stepFetch() {
	for _, call := range c.timedOut() {
		c.failFetch(call, c.calls[call])
	}
	wants := make(map[ident.InstanceID][]Held)
	var to []ident.InstanceID
	for _, e := range c.list {
		if !c.lags(e) || e.ask.call != 0 || c.now.Before(e.ask.at) {
			continue
		}
		p, ok := c.source(e)
		if !ok {
			continue
		}
		h := Held{Key: e.key}
		if e.object != nil {
			h.Revision = e.object.Revision
		}
		if len(wants[p]) == 0 {
			to = append(to, p)
		}
		wants[p] = append(wants[p], h)
	}
	for _, p := range to {
		for part := range slices.Chunk(wants[p], MaxWant) {
			f := &fetch{to: p}
			for _, h := range part {
				f.want = append(f.want, h.Key)
			}
			c.send(f, Request{Want: part})
		}
	}
}

func (c *Core) timedOut() []Call {
	var out []Call
	for call, f := range c.calls {
		if !c.now.Before(f.until) {
			out = append(out, call)
		}
	}
	slices.Sort(out)
	return out
}

// source returns the peer to ask for the object: the one that told of it, then those that serve it, and
// at every third try any other, because after a change of members a former server may have it.
func (c *Core) source(e *entry) (ident.InstanceID, bool) {
	var ids []ident.InstanceID
	order := c.services[e.key.Service()]
	for i, n := range order {
		switch {
		case c.isSelf(n):
		case n.ID == e.sender:
			ids = slices.Insert(ids, 0, n.ID)
		case i < c.cfg.Serving:
			ids = append(ids, n.ID)
		}
	}
	if e.ask.tries%3 == 2 && len(order) > 0 {
		if n := order[c.rng.IntN(len(order))]; !c.isSelf(n) {
			return n.ID, true
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[e.ask.tries%len(ids)], true
}

// announce tells the other instances that serve the service.
func (c *Core) announce(news []Held, s ident.ServiceName) {
	order := c.services[s]
	var to []ident.InstanceID
	for _, n := range order[:min(c.cfg.Serving, len(order))] {
		to = append(to, n.ID)
	}
	c.notify(to, news)
}

// notify tells the instances at once; gossip would take a time that grows with the fleet.
func (c *Core) notify(to []ident.InstanceID, news []Held) {
	slices.Sort(to)
	for _, id := range slices.Compact(to) {
		if id != c.self {
			c.notices = append(c.notices, notice{to: id, news: news, at: c.now})
		}
	}
}

func (c *Core) stepNotices() {
	rest := c.notices[:0]
	for _, n := range c.notices {
		if c.now.Before(n.at) {
			rest = append(rest, n)
			continue
		}
		n.tries++
		c.send(&fetch{to: n.to, notice: &n}, Request{News: n.news})
	}
	c.notices = rest
}
