// Package fleet simulates many membership cores in one process, in virtual time and over a network with loss,
// delay and partitions. Processes can be paused and crash. The same seed gives the same run.
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

// epoch is the virtual time at which a simulation starts.
var epoch = time.Unix(1_800_000_000, 0)

// MessageObserver is called for each message that is sent.
type MessageObserver interface {
	MessageSent(from, to ident.InstanceID, m any)
}

// Network holds the properties of the simulated network.
type Network struct {
	// Loss is the probability that a message is lost, 0 to 1.
	Loss float64
	// Delay is the shortest delay of a message. A random time below Jitter is added.
	Delay  time.Duration
	Jitter time.Duration
	// Connected reports whether messages from a reach b. If it is nil, all instances are connected.
	Connected func(a, b ident.InstanceID) bool
}

// Fleet is a simulated group of instances.
type Fleet struct {
	// Network may be changed between two runs.
	Network   Network
	cfg       member.Config
	rng       *rand.Rand
	now       time.Time
	observer  MessageObserver
	clock     func() time.Time
	events    eventQueue
	seq       uint64
	processes map[ident.InstanceID]*Process
	byAddr    map[netip.AddrPort]*Process
	pings     map[pendingPing]*Process
	replies   map[member.ReplyToken]pendingPing
	lastToken member.ReplyToken
}

// pendingPing identifies a ping that has not been answered yet.
type pendingPing struct {
	from       ident.InstanceID
	generation int
	id         member.PingID
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithMessageObserver sets the observer that is called for all messages.
func WithMessageObserver(m MessageObserver) Option { return func(f *Fleet) { f.observer = m } }

// WithClock sets the clock that measures the processor time of the cores.
func WithClock(now func() time.Time) Option { return func(f *Fleet) { f.clock = now } }

// New returns a fleet without instances. Messages take 1 to 2 ms.
func New(cfg member.Config, seed uint64, opts ...Option) *Fleet {
	f := &Fleet{
		Network: Network{Delay: time.Millisecond, Jitter: time.Millisecond},
		cfg:     cfg, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		clock:     func() time.Time { return epoch },
		processes: make(map[ident.InstanceID]*Process),
		byAddr:    make(map[netip.AddrPort]*Process),
		pings:     make(map[pendingPing]*Process),
		replies:   make(map[member.ReplyToken]pendingPing),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Start starts a process for the instance that the record describes. An earlier process of the instance must
// have ended.
func (f *Fleet) Start(r member.Record) *Process {
	generation := 0
	if old, ok := f.processes[r.ID]; ok {
		generation = old.generation + 1
	}
	r.Incarnation = member.FirstIncarnation(f.now)
	p := &Process{
		fleet: f, id: r.ID, generation: generation,
		core: member.New(r, f.cfg, rand.New(rand.NewPCG(f.rng.Uint64(), 2)), f.now),
	}
	f.processes[r.ID] = p
	f.byAddr[r.Peer] = p
	f.schedule(time.Duration(f.rng.Int64N(int64(tickInterval))), p.tick)
	return p
}

// Process returns the newest process of the instance.
func (f *Fleet) Process(id ident.InstanceID) *Process { return f.processes[id] }

// Processes returns the newest process of each instance, in the order of their identifiers.
func (f *Fleet) Processes() []*Process {
	out := make([]*Process, 0, len(f.processes))
	for _, n := range f.processes {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *Process) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// Run advances the virtual time and executes the events that become due.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// RunUntil runs until the condition, which is checked after each step, holds. It returns the time that this
// took, or false when the condition does not hold within the limit.
func (f *Fleet) RunUntil(limit, step time.Duration, ok func() bool) (time.Duration, bool) {
	for past := time.Duration(0); past <= limit; past += step {
		if ok() {
			return past, true
		}
		f.Run(step)
	}
	return limit, false
}

func (f *Fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, &event{at: f.now.Add(d), seq: f.seq, do: do})
}

// deliver executes do after the delay of the network, unless the message is lost.
func (f *Fleet) deliver(from, to ident.InstanceID, m any, do func()) {
	if f.observer != nil {
		f.observer.MessageSent(from, to, m)
	}
	nw := &f.Network
	if nw.Connected != nil && !nw.Connected(from, to) || f.rng.Float64() < nw.Loss {
		return
	}
	d := nw.Delay
	if nw.Jitter > 0 {
		d += time.Duration(f.rng.Int64N(int64(nw.Jitter)))
	}
	f.schedule(d, do)
}

// send executes a SendPing action.
func (f *Fleet) send(from *Process, s member.SendPing) {
	c := pendingPing{from: from.id, generation: from.generation, id: s.ID}
	f.pings[c] = from
	f.schedule(f.cfg.SuspectTimeout, func() { f.failPing(c) })
	to, ok := f.byAddr[s.To]
	if !ok {
		return
	}
	f.deliver(from.id, to.id, s.Ping, func() {
		if to.state == stateRefusing {
			f.deliver(to.id, from.id, nil, func() { f.failPing(c) })
			return
		}
		f.lastToken++
		f.replies[f.lastToken] = c
		to.handle(member.PingReceived{Token: f.lastToken, Ping: s.Ping})
	})
}

// reply executes a SendPong action.
func (f *Fleet) reply(from *Process, r member.SendPong) {
	c, ok := f.replies[r.Token]
	if !ok {
		return
	}
	delete(f.replies, r.Token)
	f.deliver(from.id, c.from, r.Pong, func() {
		if n, ok := f.pings[c]; ok {
			delete(f.pings, c)
			n.handle(member.PongReceived{ID: c.id, Pong: r.Pong})
		}
	})
}

func (f *Fleet) failPing(c pendingPing) {
	if n, ok := f.pings[c]; ok {
		delete(f.pings, c)
		n.handle(member.PingFailed{ID: c.id})
	}
}
