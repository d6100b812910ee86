package health_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
)

const (
	step      = 100 * time.Millisecond
	callTime  = 300 * time.Millisecond
	detection = 3 * time.Second
	// validity is the time for which the traffic of a paused instance would still act on its last
	// snapshot.
	validity = 2 * time.Second
)

// backend is a model of a backend server. After a start it can take one call at a time for its first
// five calls, two for ten more, then four; calls beyond that fail.
type backend struct {
	incarnation ident.Incarnation
	served      int
	inflight    int
	down        bool
}

func (b *backend) capacity() int {
	switch {
	case b.served < 5:
		return 1
	case b.served < 15:
		return 2
	default:
		return 4
	}
}

// instance is one tracker with its own view of members and of the list.
type instance struct {
	tracker *health.Tracker
	id      ident.InstanceID
	alive   bool
	paused  time.Duration
	since   time.Time
	// seen is the time at which the control loop ran last.
	seen              time.Time
	inflight          map[ident.ServerID]int
	knownIncarnations map[ident.ServerID]ident.Incarnation
}

// call is a call in flight, with the incarnation of the server at its start.
type call struct {
	from        *instance
	server      ident.ServerID
	start       time.Time
	incarnation ident.Incarnation
	failed      bool
}

// simulation runs several instances against one service in virtual time.
type simulation struct {
	now       time.Time
	rng       *rand.Rand
	instances []*instance
	servers   map[ident.ServerID]*backend
	ids       []ident.ServerID
	calls     []call
	messages  []func()
	// changed holds the time at which each instance last started, stopped, paused or resumed.
	changed map[ident.InstanceID]time.Time
	// overloads counts calls beyond the capacity of a server, sent by instances that knew its
	// incarnation.
	overloads int
	sent      map[ident.ServerID]int
	// broken makes every call to these servers fail at once.
	broken map[ident.ServerID]bool
	load   int
	// singleHolder assigns the slots of each server to one instance.
	singleHolder bool
}

func newSimulation(seed uint64, instances, servers int) *simulation {
	w := &simulation{
		now: time.Unix(1e6, 0), rng: rand.New(rand.NewPCG(seed, 1)), servers: make(map[ident.ServerID]*backend),
		changed: make(map[ident.InstanceID]time.Time), broken: make(map[ident.ServerID]bool), sent: make(map[ident.ServerID]int), load: 6,
	}
	for i := range servers {
		id := ident.ServerID(fmt.Sprintf("s%d", i))
		w.ids = append(w.ids, id)
		w.servers[id] = &backend{incarnation: 1}
	}
	for i := range instances {
		in := &instance{id: ident.InstanceID(fmt.Sprintf("i%d", i)), inflight: make(map[ident.ServerID]int)}
		w.instances = append(w.instances, in)
		w.startInstance(in)
	}
	return w
}

func (w *simulation) startInstance(in *instance) {
	in.tracker = health.New("s", in.id, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	in.alive, in.paused, in.since = true, 0, w.now
	in.knownIncarnations = make(map[ident.ServerID]ident.Incarnation)
	w.changed[in.id] = w.now
	w.deliverServerList(in)
}

func (w *simulation) serverList() *roster.ServerList {
	l := &roster.ServerList{Service: "s"}
	for i, id := range w.ids {
		l.Servers = append(l.Servers, roster.Server{
			ID: id, Slots: 4, Incarnation: w.servers[id].incarnation, Domain: ident.DomainName(fmt.Sprintf("d%d", i%4)),
		})
	}
	return l
}

// deliverServerList passes the list to one instance.
func (w *simulation) deliverServerList(in *instance) {
	l := w.serverList()
	in.tracker.SetServerList(l, w.now)
	for _, s := range l.Servers {
		in.knownIncarnations[s.ID] = s.Incarnation
	}
}

func (w *simulation) restart(id ident.ServerID) {
	b := w.servers[id]
	b.incarnation++
	b.served, b.inflight = 0, 0
}

// members returns the instance's view: it learns up to 3 s late that another one has stopped, started
// or resumed, with a different delay for each pair. One that just resumed still has its old view.
func (w *simulation) members(in *instance) []place.Instance {
	var out []place.Instance
	for _, o := range w.instances {
		running := o.alive && o.paused <= 0
		lag := time.Duration(in.id[1]*7+o.id[1]*11) * time.Second / 10 % detection
		if w.now.Sub(w.changed[o.id]) < lag {
			running = !running
		}
		if o == in || running || w.now.Sub(in.since) < time.Second {
			out = append(out, place.Instance{ID: o.id, Domain: ident.DomainName(o.id)})
		}
	}
	return out
}

func (w *simulation) holders(id ident.ServerID, members []place.Instance) []ident.InstanceID {
	if w.singleHolder {
		return []ident.InstanceID{w.instances[int(id[1])%len(w.instances)].id}
	}
	var out []ident.InstanceID
	for _, n := range place.Order(string(id), members) {
		out = append(out, n.ID)
	}
	return out
}

func (w *simulation) advance() {
	w.now = w.now.Add(step)
	due := w.messages
	w.messages = nil
	for _, f := range due {
		f()
	}
	w.finish()
	for _, in := range w.instances {
		switch {
		case !in.alive:
			continue
		case in.paused > 0:
			if in.paused -= step; in.paused > 0 {
				// Control is paused, but traffic acts on the last snapshot while that is valid.
				if w.now.Sub(in.seen) <= validity {
					w.traffic(in)
				}
				continue
			}
			in.since, w.changed[in.id] = w.now, w.now
			in.tracker.Resume(w.now)
		}
		members := w.members(in)
		in.tracker.SetHolders(func(id ident.ServerID) []ident.InstanceID { return w.holders(id, members) }, w.now)
		in.tracker.Tick(w.now)
		in.seen = w.now
		w.sendWarmQueries(in)
		w.traffic(in)
	}
}

func (w *simulation) traffic(in *instance) {
	for range w.load {
		w.send(in, w.ids[w.rng.IntN(len(w.ids))])
	}
}

func (w *simulation) sendWarmQueries(in *instance) {
	for _, q := range in.tracker.DueWarmQueries(w.now) {
		i := slices.IndexFunc(w.instances, func(o *instance) bool { return o.id == q.To })
		w.messages = append(w.messages, func() {
			if o := w.instances[i]; o.alive && o.paused <= 0 && in.alive && in.paused <= 0 {
				in.tracker.HandleWarmReply(o.tracker.FilterWarm(q.Servers, w.now), w.now)
			}
		})
	}
}

// send starts a call when the server's limit and the slot share of one allow it.
func (w *simulation) send(in *instance, id ident.ServerID) {
	if in.inflight[id] >= int(min(1, in.tracker.Status(id, in.seen).Limit)) {
		return
	}
	b := w.servers[id]
	c := call{from: in, server: id, start: w.now, incarnation: b.incarnation}
	in.inflight[id]++
	w.sent[id]++
	switch {
	case b.down || w.broken[id]:
		c.failed = true
	case b.inflight >= b.capacity():
		c.failed = true
		if in.knownIncarnations[id] == b.incarnation {
			w.overloads++
		}
		b.inflight++
	default:
		b.inflight++
	}
	w.calls = append(w.calls, c)
}

func (w *simulation) finish() {
	var rest []call
	for _, c := range w.calls {
		b := w.servers[c.server]
		fast := c.failed && (b.down || w.broken[c.server])
		if !fast && w.now.Sub(c.start) < callTime {
			rest = append(rest, c)
			continue
		}
		c.from.inflight[c.server]--
		o := route.TryOutcome{Service: "s", Server: c.server, Start: c.start, Latency: w.now.Sub(c.start)}
		if b.incarnation != c.incarnation {
			o.Result = route.ResultBroken
		} else {
			if !fast {
				b.inflight = max(0, b.inflight-1)
			}
			if c.failed {
				o.Result = route.ResultFailed
			} else {
				b.served++
			}
		}
		if c.from.alive && c.from.paused <= 0 {
			c.from.tracker.Observe([]route.TryOutcome{o}, w.now)
		}
	}
	w.calls = rest
}
