// Package fleet drives many membership cores in one process, in virtual time and over a simulated
// network with loss, delay, network partitions, pauses and crashes. The same seed gives the same run.
package fleet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
)

// tickInterval is the time between two ticks of a core.
const tickInterval = 100 * time.Millisecond

// epoch is the time at which a fleet starts.
var epoch = time.Unix(1_800_000_000, 0)

// Meter is told of each message that is sent.
type Meter interface {
	Sent(from, to ident.InstanceID, m any)
}

// Network says what happens to messages.
type Network struct {
	// Loss is the probability that a message is lost, 0 to 1.
	Loss float64
	// Delay and Jitter are the shortest delay of a message and the range above it.
	Delay  time.Duration
	Jitter time.Duration
	// Connected reports whether two instances reach each other; nil means that all do.
	Connected func(a, b ident.InstanceID) bool
}

// Fleet is a group of instances in virtual time.
type Fleet struct {
	// Network may be changed between two runs.
	Network Network
	cfg     member.Config
	rng     *rand.Rand
	now     time.Time
	meter   Meter
	wall    func() time.Time
	queue   timeline
	seq     uint64
	nodes   map[ident.InstanceID]*Node
	byAddr  map[netip.AddrPort]*Node
	calls   map[call]*Node
	tickets map[member.Ticket]call
	ticket  member.Ticket
}

// call is a ping whose sender waits for the response.
type call struct {
	from     ident.InstanceID
	life     int
	exchange member.Exchange
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithMeter has the meter told of all messages.
func WithMeter(m Meter) Option { return func(f *Fleet) { f.meter = m } }

// WithClock has the time that cores take measured by a clock.
func WithClock(now func() time.Time) Option { return func(f *Fleet) { f.wall = now } }

// New returns a fleet without instances. Messages take 1 to 2 ms.
func New(cfg member.Config, seed uint64, opts ...Option) *Fleet {
	f := &Fleet{
		Network: Network{Delay: time.Millisecond, Jitter: time.Millisecond},
		cfg:     cfg, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		wall:    func() time.Time { return epoch },
		nodes:   make(map[ident.InstanceID]*Node),
		byAddr:  make(map[netip.AddrPort]*Node),
		calls:   make(map[call]*Node),
		tickets: make(map[member.Ticket]call),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Start starts a process for the instance that the record describes. An earlier process of the name must
// have ended.
func (f *Fleet) Start(r member.Record) *Node {
	life := 0
	if old, ok := f.nodes[r.ID]; ok {
		life = old.life + 1
	}
	r.Incarnation = member.FirstIncarnation(f.now)
	n := &Node{
		fleet: f, id: r.ID, life: life,
		core: member.New(r, f.cfg, rand.New(rand.NewPCG(f.rng.Uint64(), 2)), f.now),
	}
	f.nodes[r.ID] = n
	f.byAddr[r.Peer] = n
	f.after(time.Duration(f.rng.Int64N(int64(tickInterval))), n.tick)
	return n
}

// Node returns the newest process of the instance.
func (f *Fleet) Node(id ident.InstanceID) *Node { return f.nodes[id] }

// Nodes returns the newest process of each instance, in the order of their identifiers.
func (f *Fleet) Nodes() []*Node {
	out := make([]*Node, 0, len(f.nodes))
	for _, n := range f.nodes {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *Node) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(*entry)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// Until runs until the condition holds, checked at each step, and returns the time it took. It gives up
// after the limit and reports false.
func (f *Fleet) Until(limit, step time.Duration, ok func() bool) (time.Duration, bool) {
	for past := time.Duration(0); past <= limit; past += step {
		if ok() {
			return past, true
		}
		f.Run(step)
	}
	return limit, false
}

func (f *Fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, &entry{at: f.now.Add(d), seq: f.seq, do: do})
}

// deliver runs do after the network's delay, unless the message is lost.
func (f *Fleet) deliver(from, to ident.InstanceID, m any, do func()) {
	if f.meter != nil {
		f.meter.Sent(from, to, m)
	}
	nw := &f.Network
	if nw.Connected != nil && !nw.Connected(from, to) || f.rng.Float64() < nw.Loss {
		return
	}
	d := nw.Delay
	if nw.Jitter > 0 {
		d += time.Duration(f.rng.Int64N(int64(nw.Jitter)))
	}
	f.after(d, do)
}

// send carries out a Send action.
func (f *Fleet) send(from *Node, s member.Send) {
	c := call{from: from.id, life: from.life, exchange: s.Exchange}
	f.calls[c] = from
	f.after(f.cfg.Suspect, func() { f.fail(c) })
	to, ok := f.byAddr[s.To]
	if !ok {
		return
	}
	f.deliver(from.id, to.id, s.Ping, func() {
		if to.state == stateRefusing {
			f.deliver(to.id, from.id, nil, func() { f.fail(c) })
			return
		}
		f.ticket++
		f.tickets[f.ticket] = c
		to.handle(member.Received{Ticket: f.ticket, Ping: s.Ping})
	})
}

// reply carries out a Reply action.
func (f *Fleet) reply(from *Node, r member.Reply) {
	c, ok := f.tickets[r.Ticket]
	if !ok {
		return
	}
	delete(f.tickets, r.Ticket)
	f.deliver(from.id, c.from, r.Pong, func() {
		if n, ok := f.calls[c]; ok {
			delete(f.calls, c)
			n.handle(member.Answered{Exchange: c.exchange, Pong: r.Pong})
		}
	})
}

func (f *Fleet) fail(c call) {
	if n, ok := f.calls[c]; ok {
		delete(f.calls, c)
		n.handle(member.Failed{Exchange: c.exchange})
	}
}
