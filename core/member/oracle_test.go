package member_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/member"
	"goldcreststand.example/core/member/fleet"
)

// Bounds of agreement. A change is in force everywhere within 8 s by the stated requirements; the time until
// a member is declared dead adds 3 s when many die at once. After a network partition each side first has to reach each
// member of the other, one every two seconds per instance.
const (
	changeBound = 8 * time.Second
	deathBound  = 3*time.Second + changeBound
	healBound   = 30 * time.Second
)

func record(i int) member.Record {
	return member.Record{
		ID:      ident.InstanceID(fmt.Sprintf("luzon-%c-%03d", 'a'+i%4, i)),
		Domain:  ident.DomainName(fmt.Sprintf("luzon-%c", 'a'+i%4)),
		Region:  "luzon",
		Traffic: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
		Peer:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8081),
	}
}

func config() member.Config {
	cfg := member.DefaultConfig()
	cfg.Seeds = []netip.AddrPort{record(0).Peer, record(1).Peer}
	return cfg
}

// oracle knows the truth of a fleet and what each process has said before.
type oracle struct {
	f     *fleet.Fleet
	count int
	left  map[ident.InstanceID]bool
	// leftAt is the incarnation in which an instance left last.
	leftAt map[ident.InstanceID]ident.Incarnation
	group  map[ident.InstanceID]int
	seen   map[*fleet.Node]map[ident.InstanceID]member.Record
}

func newOracle(seed uint64) *oracle {
	return &oracle{
		f:      fleet.New(config(), seed),
		left:   make(map[ident.InstanceID]bool),
		leftAt: make(map[ident.InstanceID]ident.Incarnation),
		group:  make(map[ident.InstanceID]int),
		seen:   make(map[*fleet.Node]map[ident.InstanceID]member.Record),
	}
}

func (o *oracle) start(i int) {
	r := record(i)
	o.f.Start(r)
	delete(o.left, r.ID)
}

// pick returns a process for which the condition holds, or nil.
func (o *oracle) pick(t *rapid.T, ok func(*fleet.Node) bool) *fleet.Node {
	var ids []ident.InstanceID
	for _, n := range o.f.Nodes() {
		if ok(n) {
			ids = append(ids, n.ID())
		}
	}
	if len(ids) == 0 {
		t.Skip("no such process")
	}
	return o.f.Node(rapid.SampledFrom(ids).Draw(t, "node"))
}

func (o *oracle) participating(n *fleet.Node) bool { return n.Running() && !o.left[n.ID()] }

// disagreement returns the first disagreement between what a running process takes to be live and what is live
// and reachable for it, or an empty string.
// Nothing is asked of two processes that have no way to hear of each other.
func (o *oracle) disagreement(islands map[ident.InstanceID]int) string {
	for _, n := range o.f.Nodes() {
		if !o.participating(n) {
			continue
		}
		for _, m := range o.f.Nodes() {
			want := o.participating(m) && o.group[n.ID()] == o.group[m.ID()]
			if want && islands[n.ID()] != islands[m.ID()] {
				continue
			}
			r, known := n.Core().Find(m.ID())
			if got := known && r.Live(); got != want {
				return fmt.Sprintf("%s has of %s %+v (known %v), live and reachable: %v", n.ID(), m.ID(), r, known, want)
			}
			if known && want && r.Incarnation != m.Core().Self().Incarnation {
				return fmt.Sprintf("%s has %+v, true incarnation is %d", n.ID(), r, m.Core().Self().Incarnation)
			}
		}
	}
	return ""
}

// reachableGroups numbers the groups of processes that reach each other, directly or through others, by an address
// that one of them holds or a seed's.
func (o *oracle) reachableGroups() map[ident.InstanceID]int {
	out := make(map[ident.InstanceID]int)
	var visit func(n *fleet.Node, island int)
	visit = func(n *fleet.Node, island int) {
		out[n.ID()] = island
		for _, m := range o.f.Nodes() {
			if _, done := out[m.ID()]; !done && o.participating(m) && o.group[n.ID()] == o.group[m.ID()] && (o.hasAddress(n, m) || o.hasAddress(m, n)) {
				visit(m, island)
			}
		}
	}
	for i, n := range o.f.Nodes() {
		if _, done := out[n.ID()]; !done && o.participating(n) {
			visit(n, i)
		}
	}
	return out
}

// hasAddress reports whether n has an address of m to contact, and will not hear from others that m has left.
func (o *oracle) hasAddress(n, m *fleet.Node) bool {
	r, ok := n.Core().Find(m.ID())
	return ok && r.Full() && r.Incarnation > o.leftAt[m.ID()] || slices.Contains(config().Seeds, m.Core().Self().Peer)
}

func (o *oracle) requireAgreement(t require.TestingT, bound time.Duration) {
	loss := o.f.Network.Loss
	o.f.Network.Loss = 0
	islands := o.reachableGroups()
	var why string
	_, ok := o.f.RunUntil(bound, 100*time.Millisecond, func() bool {
		why = o.disagreement(islands)
		return why == ""
	})
	require.True(t, ok, "no agreement within %s: %s", bound, why)
	o.f.Network.Loss = loss
}

// check fails when a record went back in the order of the join: a lower incarnation, or life after leave.
func (o *oracle) check(t require.TestingT) {
	for _, n := range o.f.Nodes() {
		if !n.Running() {
			continue
		}
		if o.seen[n] == nil {
			o.seen[n] = make(map[ident.InstanceID]member.Record)
		}
		for _, r := range n.Core().Members() {
			old, ok := o.seen[n][r.ID]
			require.False(t, ok && old.Newer(r), "%s went back from %+v to %+v", n.ID(), old, r)
			o.seen[n][r.ID] = r
		}
	}
}

// Guards against instances that disagree on who is alive after loss, delay, pauses, crashes, restarts,
// leaves and network partitions, and against records that go back.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(rapid.Uint64().Draw(t, "seed"))
		for o.count = range rapid.IntRange(2, 9).Draw(t, "instances") {
			o.start(o.count)
		}
		o.count++
		o.requireAgreement(t, healBound)
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { o.check(t) },
			"advance": func(t *rapid.T) { o.advance(rapid.IntRange(1, 5000).Draw(t, "ms")) },
			"start": func(*rapid.T) {
				o.start(o.count)
				o.count++
			},
			"crash": func(t *rapid.T) {
				o.pick(t, func(n *fleet.Node) bool { return n.Running() || n.Paused() }).Crash(rapid.Bool().Draw(t, "silent"))
			},
			"restart": func(t *rapid.T) {
				n := o.pick(t, func(n *fleet.Node) bool { return !n.Running() && !n.Paused() })
				o.advance(1000)
				o.f.Start(n.Core().Self())
				delete(o.left, n.ID())
			},
			"pause":  func(t *rapid.T) { o.pick(t, o.participating).Pause() },
			"resume": func(t *rapid.T) { o.pick(t, (*fleet.Node).Paused).Resume() },
			"leave": func(t *rapid.T) {
				n := o.pick(t, o.participating)
				n.Leave()
				o.left[n.ID()] = true
				o.leftAt[n.ID()] = n.Core().Self().Incarnation
			},
			"loss": func(t *rapid.T) { o.f.Network.Loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss") },
			"delay": func(t *rapid.T) {
				o.f.Network.Jitter = time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			},
			"split": func(t *rapid.T) { o.split(uint64(rapid.Uint16().Draw(t, "sides"))) },
			"heal":  func(*rapid.T) { o.split(0) },
			"agree": func(t *rapid.T) {
				o.requireAgreement(t, healBound)
				o.check(t)
			},
		})
		for _, n := range o.f.Nodes() {
			if n.Paused() {
				n.Resume()
			}
		}
		o.split(0)
		o.requireAgreement(t, healBound)
		o.check(t)
	})
}

func (o *oracle) advance(ms int) { o.f.Run(time.Duration(ms) * time.Millisecond) }

// split puts each instance on the side that its bit names.
func (o *oracle) split(sides uint64) {
	for i := range o.count {
		o.group[record(i).ID] = int(sides >> (i % 16) & 1)
	}
	o.f.Network.Connected = func(a, b ident.InstanceID) bool { return o.group[a] == o.group[b] }
}
