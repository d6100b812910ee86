package dist_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/table"
)

// Times of the simulation.
const (
	simTick    = 100 * time.Millisecond
	simPing    = 500 * time.Millisecond
	simLatency = 2 * time.Millisecond
	simDetect  = 3 * time.Second
	simTimeout = 2 * time.Second
	simServing = 4
	simTarget  = 8 * time.Second
)

// mode is how a path behaves.
type mode int

const (
	pathUp mode = iota
	pathRefuses
	pathSilent
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type agenda []simEvent

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(simEvent)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// version is one accepted write of the platform model.
type version struct {
	at     time.Time
	tag    dist.Tag
	object dist.Object
}

// node is one instance of the simulation.
type node struct {
	id      ident.InstanceID
	domain  ident.DomainName
	core    *dist.Core
	life    int
	running bool
	paused  bool
	started time.Time
	failed  time.Time
	reach   mode
	group   int
	view    []place.Instance
	waiting map[dist.Key]dist.Call
	held    map[dist.Key]ident.Revision
	dropped map[dist.Key]bool
}

// sim drives cores of several instances against a model of the platform in virtual time.
type sim struct {
	rng    *rand.Rand
	now    time.Time
	seq    int
	agenda agenda
	nodes  []*node
	// platform
	up       mode
	lag      time.Duration
	loss     float64
	history  map[dist.Key][]version
	versions int
	// counts
	calls, peerCalls int
	// peerBytes and platformBytes are estimated from the length of the messages in JSON.
	peerBytes, platformBytes int
	starts                   []time.Time
	fault                    string
}

func newSim(seed uint64, instances, services int) *sim {
	s := &sim{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		history: make(map[dist.Key][]version),
	}
	for i := range instances {
		s.nodes = append(s.nodes, &node{
			id:     newID(i),
			domain: newDomain(i),
		})
	}
	for i := range services {
		n := service(i)
		s.write(dist.FromTable(&table.Table{Service: n, Revision: 1, Edit: "e1"}))
		s.write(dist.FromListing(&roster.ServerList{Service: n, Revision: 1}))
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func newID(i int) ident.InstanceID { return ident.InstanceID(fmt.Sprintf("i%d", i)) }

func newDomain(i int) ident.DomainName { return ident.DomainName(fmt.Sprintf("d%d", i%4)) }

func service(i int) ident.ServiceName { return ident.ServiceName(fmt.Sprintf("s%d", i)) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.agenda, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.agenda) > 0 && !s.agenda[0].at.After(end) {
		e := heap.Pop(&s.agenda).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) write(o dist.Object) {
	s.versions++
	tag := dist.Tag(fmt.Sprint(s.versions))
	s.history[o.Key] = append(s.history[o.Key], version{at: s.now, tag: tag, object: o})
}

func (s *sim) revision(k dist.Key) ident.Revision {
	h := s.history[k]
	return h[len(h)-1].object.Revision
}

// edit accepts a new routing table of the service.
func (s *sim) edit(n ident.ServiceName) ident.Revision {
	r := s.revision(dist.TableKey(n)) + 1
	s.write(dist.FromTable(&table.Table{Service: n, Revision: r, Edit: ident.EditID(fmt.Sprintf("e%d", r))}))
	return r
}

func (s *sim) start(n *node) {
	n.life++
	n.running, n.paused, n.started, n.view = true, false, s.now, nil
	n.core = dist.New(n.id, dist.DefaultConfig(simServing), rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	n.waiting = make(map[dist.Key]dist.Call)
	n.held = make(map[dist.Key]ident.Revision)
	n.dropped = make(map[dist.Key]bool)
	life := n.life
	s.after(time.Duration(s.rng.Int64N(int64(simTick))), func() { s.tick(n, life) })
	s.after(time.Duration(s.rng.Int64N(int64(simPing))), func() { s.ping(n, life) })
}

func (s *sim) stop(n *node) {
	n.running, n.failed = false, s.now
	n.life++
}

func (s *sim) alive(n *node) bool { return n.running && !n.paused }

// members returns the live instances as the instance sees them: a failure shows after simDetect.
func (s *sim) members(n *node) []place.Instance {
	var out []place.Instance
	for _, m := range s.nodes {
		visible := m == n || m.group == n.group && s.alive(m) || !m.failed.IsZero() && s.now.Sub(m.failed) < simDetect && !s.alive(m)
		if visible {
			out = append(out, place.Instance{ID: m.id, Domain: m.domain})
		}
	}
	return out
}

func (s *sim) tick(n *node, life int) {
	if n.life != life {
		return
	}
	if !n.paused {
		if v := s.members(n); !slices.Equal(v, n.view) {
			n.view = v
			s.handle(n, dist.Members{Nodes: v})
		}
		s.handle(n, dist.Tick{})
	}
	s.after(simTick, func() { s.tick(n, life) })
}

func (s *sim) ping(n *node, life int) {
	if n.life != life {
		return
	}
	s.after(simPing, func() { s.ping(n, life) })
	if n.paused || len(n.view) == 0 {
		return
	}
	m := s.node(n.view[s.rng.IntN(len(n.view))].ID)
	if m == n {
		return
	}
	held, digest := n.core.Gossip()
	s.peerBytes += gossipBytes(held)
	s.deliver(n, m, func() {
		back, d := m.core.Gossip()
		s.peerBytes += gossipBytes(back)
		s.handle(m, dist.Heard{From: n.id, Held: held, Digest: digest})
		s.deliver(m, n, func() { s.handle(n, dist.Heard{From: m.id, Held: back, Digest: d}) })
	})
}

func (s *sim) node(id ident.InstanceID) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.id == id })
	return s.nodes[i]
}

// deliver runs f after the latency when the message gets through to a live instance.
func (s *sim) deliver(from, to *node, f func()) {
	life := to.life
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(simLatency, func() {
		if to.life == life && s.alive(to) && from.group == to.group {
			f()
		}
	})
}

func (s *sim) handle(n *node, ev dist.Event) { s.do(n, n.core.Handle(s.now, ev)) }

func (s *sim) do(n *node, actions []dist.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dist.Watch:
			s.calls++
			s.platformBytes += callBytes
			s.starts = append(s.starts, s.now)
			n.waiting[a.Key] = a.Call
			s.poll(n, n.life, a, s.now.Add(a.Wait))
		case dist.Unwatch:
			delete(n.waiting, a.Key)
		case dist.Fetch:
			s.fetch(n, a)
		case dist.Store:
			s.store(n, a)
		case dist.Adopt:
			s.adopt(n, a.Object)
		case dist.Drop:
			n.dropped[a.Key] = true
		}
	}
}

func (s *sim) adopt(n *node, o dist.Object) {
	if h := n.held[o.Key]; o.Revision < h || o.Revision == h && !n.dropped[o.Key] {
		s.fault = fmt.Sprintf("%s went from revision %d of %s to %d", n.id, n.held[o.Key], o.Key, o.Revision)
	}
	n.held[o.Key] = o.Revision
	delete(n.dropped, o.Key)
	known := slices.ContainsFunc(s.history[o.Key], func(v version) bool { return v.object.Revision == o.Revision })
	if o.Key.Kind == dist.KindTable && !known {
		s.fault = fmt.Sprintf("%s adopted revision %d of %s, which was never accepted", n.id, o.Revision, o.Key)
	}
}

func (s *sim) path(n *node) mode { return max(s.up, n.reach) }

// poll models one call of the platform that looks every simTick.
func (s *sim) poll(n *node, life int, a dist.Watch, until time.Time) {
	if n.life != life || n.waiting[a.Key] != a.Call {
		return
	}
	var ev dist.Event
	switch s.path(n) {
	case pathRefuses:
		ev = dist.Failed{Key: a.Key, Call: a.Call}
	case pathSilent:
		if s.now.Sub(until) >= simTimeout {
			ev = dist.Failed{Key: a.Key, Call: a.Call}
		}
	case pathUp:
		ev = s.look(a, until)
	}
	if ev == nil || n.paused {
		s.after(simTick, func() { s.poll(n, life, a, until) })
		return
	}
	s.after(simLatency, func() {
		if n.life == life && n.waiting[a.Key] == a.Call {
			delete(n.waiting, a.Key)
			s.handle(n, ev)
		}
	})
}

func (s *sim) look(a dist.Watch, until time.Time) dist.Event {
	seen := s.now
	if s.lag > 0 && s.rng.IntN(2) == 0 {
		seen = s.now.Add(-s.lag)
	}
	if a.Key.Kind == dist.KindCatalog {
		return s.lookCatalog(a, until)
	}
	h := s.history[a.Key]
	i := len(h) - 1
	for i > 0 && h[i].at.After(seen) {
		i--
	}
	switch {
	case i < 0:
		return dist.Failed{Key: a.Key, Call: a.Call, Failure: dist.FailureAbsent}
	case h[i].tag != a.Tag:
		s.platformBytes += objectBytes(h[i].object)
		return dist.Read{Call: a.Call, Tag: h[i].tag, Object: h[i].object}
	case !s.now.Before(until):
		return dist.Unchanged{Key: a.Key, Call: a.Call}
	}
	return nil
}

func (s *sim) lookCatalog(a dist.Watch, until time.Time) dist.Event {
	var names []ident.ServiceName
	for k := range s.history {
		if k.Kind == dist.KindTable {
			names = append(names, k.Service())
		}
	}
	slices.Sort(names)
	tag := dist.Tag(fmt.Sprint(len(names)))
	switch {
	case tag != a.Tag:
		return dist.Listed{Call: a.Call, Tag: tag, Services: names}
	case !s.now.Before(until):
		return dist.Unchanged{Key: a.Key, Call: a.Call}
	}
	return nil
}

func (s *sim) fetch(n *node, a dist.Fetch) {
	s.peerCalls++
	s.peerBytes += fetchBytes + heldBytes*(len(a.Request.Want)+len(a.Request.News)) + digestBytes*len(a.Request.Buckets)
	m := s.node(a.To)
	s.deliver(n, m, func() {
		reply, actions := m.core.Answer(s.now, n.id, a.Request)
		s.do(m, actions)
		s.peerBytes += fetchBytes + heldBytes*len(reply.Held)
		for _, o := range reply.Objects {
			s.peerBytes += objectBytes(o)
		}
		s.deliver(m, n, func() { s.handle(n, dist.Fetched{From: m.id, Call: a.Call, Reply: reply}) })
	})
}

// store models the read-modify-write of a rollout status, whose response may be lost.
func (s *sim) store(n *node, a dist.Store) {
	life := n.life
	k := dist.StatusKey(a.Status.Service)
	s.after(simLatency, func() {
		if n.life != life || n.paused {
			return
		}
		if s.path(n) != pathUp {
			s.handle(n, dist.StoreFailed{Key: k, Call: a.Call})
			return
		}
		if h := s.history[k]; len(h) == 0 || a.Status.Newer(h[len(h)-1].object.Status) {
			s.write(dist.FromStatus(a.Status))
		}
		if s.rng.Float64() < s.loss {
			s.handle(n, dist.StoreFailed{Key: k, Call: a.Call})
			return
		}
		h := s.history[k]
		s.handle(n, dist.Stored{Call: a.Call, Status: h[len(h)-1].object.Status})
	})
}

// served reports whether some live instance that the given one can talk to reaches the platform.
func (s *sim) served(n *node) bool {
	return slices.ContainsFunc(s.nodes, func(m *node) bool {
		return s.alive(m) && m.group == n.group && s.path(m) == pathUp
	})
}

// behind returns the instances that serve the object, have a path to the platform, and lack the revision.
func (s *sim) behind(k dist.Key, r ident.Revision) []string {
	var out []string
	for _, n := range s.nodes {
		if !s.alive(n) || !s.served(n) {
			continue
		}
		serving := place.ServingInstances(k.Service(), n.view, simServing)
		o := n.core.Object(k)
		if slices.Contains(serving, place.Instance{ID: n.id, Domain: n.domain}) && (o == nil || o.Revision < r) {
			out = append(out, fmt.Sprintf("%s lacks revision %d of %s", n.id, r, k))
		}
	}
	return out
}
