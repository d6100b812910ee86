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

// Parameters of the simulation.
const (
	simTick         = 100 * time.Millisecond
	simPingInterval = 500 * time.Millisecond
	simLatency      = 2 * time.Millisecond
	simDetectDelay  = 3 * time.Second
	simTimeout      = 2 * time.Second
	simServing      = 4
	simTarget       = 8 * time.Second
)

// pathMode is the behaviour of the network path to the platform.
type pathMode int

const (
	pathUp pathMode = iota
	pathRefuses
	pathSilent
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// version is one write that the platform model has accepted.
type version struct {
	at     time.Time
	tag    dist.Tag
	object dist.Object
}

// instance is one simulated instance.
type instance struct {
	id         ident.InstanceID
	domain     ident.DomainName
	core       *dist.Core
	generation int
	running    bool
	paused     bool
	started    time.Time
	failed     time.Time
	path       pathMode
	side       int
	members    []place.Instance
	watches    map[dist.Key]dist.CallID
	applied    map[dist.Key]ident.Revision
	dropped    map[dist.Key]bool
}

// sim simulates several instances and a model of the platform in virtual time.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	seq       int
	events    eventQueue
	instances []*instance
	// State of the platform model.
	platformPath pathMode
	replicaLag   time.Duration
	loss         float64
	history      map[dist.Key][]version
	versions     int
	// Numbers of calls.
	calls, peerCalls int
	// peerBytes and platformBytes are estimated from the lengths of the messages in JSON.
	peerBytes, platformBytes int
	callStarts               []time.Time
	violation                string
}

func newSim(seed uint64, instances, services int) *sim {
	s := &sim{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		history: make(map[dist.Key][]version),
	}
	for i := range instances {
		s.instances = append(s.instances, &instance{
			id:     newID(i),
			domain: newDomain(i),
		})
	}
	for i := range services {
		n := service(i)
		s.write(dist.FromTable(&table.Table{Service: n, Revision: 1, Edit: "e1"}))
		s.write(dist.FromServerList(&roster.ServerList{Service: n, Revision: 1}))
	}
	for _, n := range s.instances {
		s.start(n)
	}
	return s
}

func newID(i int) ident.InstanceID { return ident.InstanceID(fmt.Sprintf("i%d", i)) }

func newDomain(i int) ident.DomainName { return ident.DomainName(fmt.Sprintf("d%d", i%4)) }

func service(i int) ident.ServiceName { return ident.ServiceName(fmt.Sprintf("s%d", i)) }

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
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

func (s *sim) start(n *instance) {
	n.generation++
	n.running, n.paused, n.started, n.members = true, false, s.now, nil
	n.core = dist.New(n.id, dist.DefaultConfig(simServing), rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	n.watches = make(map[dist.Key]dist.CallID)
	n.applied = make(map[dist.Key]ident.Revision)
	n.dropped = make(map[dist.Key]bool)
	generation := n.generation
	s.schedule(time.Duration(s.rng.Int64N(int64(simTick))), func() { s.tick(n, generation) })
	s.schedule(time.Duration(s.rng.Int64N(int64(simPingInterval))), func() { s.ping(n, generation) })
}

func (s *sim) stop(n *instance) {
	n.running, n.failed = false, s.now
	n.generation++
}

func (s *sim) alive(n *instance) bool { return n.running && !n.paused }

// liveMembers returns the instances that the instance takes to be live. It detects a failure after simDetectDelay.
func (s *sim) liveMembers(n *instance) []place.Instance {
	var out []place.Instance
	for _, m := range s.instances {
		visible := m == n || m.side == n.side && s.alive(m) || !m.failed.IsZero() && s.now.Sub(m.failed) < simDetectDelay && !s.alive(m)
		if visible {
			out = append(out, place.Instance{ID: m.id, Domain: m.domain})
		}
	}
	return out
}

func (s *sim) tick(n *instance, generation int) {
	if n.generation != generation {
		return
	}
	if !n.paused {
		if v := s.liveMembers(n); !slices.Equal(v, n.members) {
			n.members = v
			s.handle(n, dist.MembersChanged{Members: v})
		}
		s.handle(n, dist.Tick{})
	}
	s.schedule(simTick, func() { s.tick(n, generation) })
}

func (s *sim) ping(n *instance, generation int) {
	if n.generation != generation {
		return
	}
	s.schedule(simPingInterval, func() { s.ping(n, generation) })
	if n.paused || len(n.members) == 0 {
		return
	}
	m := s.instance(n.members[s.rng.IntN(len(n.members))].ID)
	if m == n {
		return
	}
	revisions, digest := n.core.Gossip()
	s.peerBytes += gossipBytes(revisions)
	s.deliver(n, m, func() {
		pongRevisions, d := m.core.Gossip()
		s.peerBytes += gossipBytes(pongRevisions)
		s.handle(m, dist.GossipReceived{From: n.id, Revisions: revisions, Digest: digest})
		s.deliver(m, n, func() { s.handle(n, dist.GossipReceived{From: m.id, Revisions: pongRevisions, Digest: d}) })
	})
}

func (s *sim) instance(id ident.InstanceID) *instance {
	i := slices.IndexFunc(s.instances, func(n *instance) bool { return n.id == id })
	return s.instances[i]
}

// deliver executes f after the latency if the message is not lost and the receiver is live and reachable.
func (s *sim) deliver(from, to *instance, f func()) {
	generation := to.generation
	if s.rng.Float64() < s.loss {
		return
	}
	s.schedule(simLatency, func() {
		if to.generation == generation && s.alive(to) && from.side == to.side {
			f()
		}
	})
}

func (s *sim) handle(n *instance, ev dist.Event) { s.execute(n, n.core.Handle(s.now, ev)) }

func (s *sim) execute(n *instance, actions []dist.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dist.StartWatch:
			s.calls++
			s.platformBytes += callBytes
			s.callStarts = append(s.callStarts, s.now)
			n.watches[a.Key] = a.Call
			s.poll(n, n.generation, a, s.now.Add(a.Wait))
		case dist.StopWatch:
			delete(n.watches, a.Key)
		case dist.CallPeer:
			s.fetch(n, a)
		case dist.StoreStatus:
			s.store(n, a)
		case dist.ApplyObject:
			s.applyObject(n, a.Object)
		case dist.DropObject:
			n.dropped[a.Key] = true
		}
	}
}

func (s *sim) applyObject(n *instance, o dist.Object) {
	if h := n.applied[o.Key]; o.Revision < h || o.Revision == h && !n.dropped[o.Key] {
		s.violation = fmt.Sprintf("%s replaced revision %d of %s by revision %d", n.id, n.applied[o.Key], o.Key, o.Revision)
	}
	n.applied[o.Key] = o.Revision
	delete(n.dropped, o.Key)
	known := slices.ContainsFunc(s.history[o.Key], func(v version) bool { return v.object.Revision == o.Revision })
	if o.Key.Kind == dist.KindTable && !known {
		s.violation = fmt.Sprintf("%s applied revision %d of %s, which was never accepted", n.id, o.Revision, o.Key)
	}
}

func (s *sim) path(n *instance) pathMode { return max(s.platformPath, n.path) }

// poll models a call to the platform that checks for a change every simTick.
func (s *sim) poll(n *instance, generation int, a dist.StartWatch, until time.Time) {
	if n.generation != generation || n.watches[a.Key] != a.Call {
		return
	}
	var ev dist.Event
	switch s.path(n) {
	case pathRefuses:
		ev = dist.WatchFailed{Key: a.Key, Call: a.Call}
	case pathSilent:
		if s.now.Sub(until) >= simTimeout {
			ev = dist.WatchFailed{Key: a.Key, Call: a.Call}
		}
	case pathUp:
		ev = s.readObject(a, until)
	}
	if ev == nil || n.paused {
		s.schedule(simTick, func() { s.poll(n, generation, a, until) })
		return
	}
	s.schedule(simLatency, func() {
		if n.generation == generation && n.watches[a.Key] == a.Call {
			delete(n.watches, a.Key)
			s.handle(n, ev)
		}
	})
}

func (s *sim) readObject(a dist.StartWatch, until time.Time) dist.Event {
	seen := s.now
	if s.replicaLag > 0 && s.rng.IntN(2) == 0 {
		seen = s.now.Add(-s.replicaLag)
	}
	if a.Key.Kind == dist.KindCatalog {
		return s.readCatalog(a, until)
	}
	h := s.history[a.Key]
	i := len(h) - 1
	for i > 0 && h[i].at.After(seen) {
		i--
	}
	switch {
	case i < 0:
		return dist.WatchFailed{Key: a.Key, Call: a.Call, Failure: dist.FailureNotFound}
	case h[i].tag != a.Tag:
		s.platformBytes += objectBytes(h[i].object)
		return dist.ObjectRead{Call: a.Call, Tag: h[i].tag, Object: h[i].object}
	case !s.now.Before(until):
		return dist.WatchUnchanged{Key: a.Key, Call: a.Call}
	}
	return nil
}

func (s *sim) readCatalog(a dist.StartWatch, until time.Time) dist.Event {
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
		return dist.CatalogRead{Call: a.Call, Tag: tag, Services: names}
	case !s.now.Before(until):
		return dist.WatchUnchanged{Key: a.Key, Call: a.Call}
	}
	return nil
}

func (s *sim) fetch(n *instance, a dist.CallPeer) {
	s.peerCalls++
	s.peerBytes += fetchBytes + revisionBytes*(len(a.Request.Wanted)+len(a.Request.Announced)) + digestBytes*len(a.Request.Buckets)
	m := s.instance(a.To)
	s.deliver(n, m, func() {
		reply, actions := m.core.HandleRequest(s.now, n.id, a.Request)
		s.execute(m, actions)
		s.peerBytes += fetchBytes + revisionBytes*len(reply.Revisions)
		for _, o := range reply.Objects {
			s.peerBytes += objectBytes(o)
		}
		s.deliver(m, n, func() { s.handle(n, dist.ReplyReceived{From: m.id, Call: a.Call, Reply: reply}) })
	})
}

// store models the read-modify-write of a rollout status. The response may be lost.
func (s *sim) store(n *instance, a dist.StoreStatus) {
	generation := n.generation
	k := dist.StatusKey(a.Status.Service)
	s.schedule(simLatency, func() {
		if n.generation != generation || n.paused {
			return
		}
		if s.path(n) != pathUp {
			s.handle(n, dist.StatusStoreFailed{Key: k, Call: a.Call})
			return
		}
		if h := s.history[k]; len(h) == 0 || a.Status.Newer(h[len(h)-1].object.Status) {
			s.write(dist.FromStatus(a.Status))
		}
		if s.rng.Float64() < s.loss {
			s.handle(n, dist.StatusStoreFailed{Key: k, Call: a.Call})
			return
		}
		h := s.history[k]
		s.handle(n, dist.StatusStored{Call: a.Call, Status: h[len(h)-1].object.Status})
	})
}

// platformReachable reports whether a live instance on the same side of a partition reaches the platform.
func (s *sim) platformReachable(n *instance) bool {
	return slices.ContainsFunc(s.instances, func(m *instance) bool {
		return s.alive(m) && m.side == n.side && s.path(m) == pathUp
	})
}

// outdatedInstances describes the instances that serve the object and lack the revision although they reach the
// platform, directly or through another instance.
func (s *sim) outdatedInstances(k dist.Key, r ident.Revision) []string {
	var out []string
	for _, n := range s.instances {
		if !s.alive(n) || !s.platformReachable(n) {
			continue
		}
		serving := place.ServingInstances(k.Service(), n.members, simServing)
		o := n.core.Object(k)
		if slices.Contains(serving, place.Instance{ID: n.id, Domain: n.domain}) && (o == nil || o.Revision < r) {
			out = append(out, fmt.Sprintf("%s lacks revision %d of %s", n.id, r, k))
		}
	}
	return out
}
