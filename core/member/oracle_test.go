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

// Bounds for the time until all instances agree. By the requirements a change is in force everywhere within 8 s.
// When many members crash at once, the time until they are declared dead adds 3 s. After a network partition
// each instance tries one dead member per two seconds until it reaches the other side.
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

// oracle holds the expected state of a fleet and the last records of each process.
type oracle struct {
	f     *fleet.Fleet
	count int
	left  map[ident.InstanceID]bool
	// leftAt is the incarnation with which an instance left last.
	leftAt      map[ident.InstanceID]ident.Incarnation
	side        map[ident.InstanceID]int
	lastRecords map[*fleet.Process]map[ident.InstanceID]member.Record
}

func newOracle(seed uint64) *oracle {
	return &oracle{
		f:           fleet.New(config(), seed),
		left:        make(map[ident.InstanceID]bool),
		leftAt:      make(map[ident.InstanceID]ident.Incarnation),
		side:        make(map[ident.InstanceID]int),
		lastRecords: make(map[*fleet.Process]map[ident.InstanceID]member.Record),
	}
}

func (o *oracle) start(i int) {
	r := record(i)
	o.f.Start(r)
	delete(o.left, r.ID)
}

// drawProcess returns a random process for which the condition holds. It skips the step when there is none.
func (o *oracle) drawProcess(t *rapid.T, ok func(*fleet.Process) bool) *fleet.Process {
	var ids []ident.InstanceID
	for _, n := range o.f.Processes() {
		if ok(n) {
			ids = append(ids, n.ID())
		}
	}
	if len(ids) == 0 {
		t.Skip("no such process")
	}
	return o.f.Process(rapid.SampledFrom(ids).Draw(t, "node"))
}

// participating reports whether the process runs and has not left.
func (o *oracle) participating(n *fleet.Process) bool { return n.Running() && !o.left[n.ID()] }

// disagreement describes the first difference between the instances that a running process takes to be live
// and those that are live and reachable for it, or returns an empty string. It ignores pairs of processes in
// different groups, which cannot learn of each other.
func (o *oracle) disagreement(groups map[ident.InstanceID]int) string {
	for _, n := range o.f.Processes() {
		if !o.participating(n) {
			continue
		}
		for _, m := range o.f.Processes() {
			want := o.participating(m) && o.side[n.ID()] == o.side[m.ID()]
			if want && groups[n.ID()] != groups[m.ID()] {
				continue
			}
			r, known := n.Core().Find(m.ID())
			if got := known && r.Live(); got != want {
				return fmt.Sprintf("%s has the record of %s %+v (known: %v), live and reachable: %v", n.ID(), m.ID(), r, known, want)
			}
			if known && want && r.Incarnation != m.Core().Self().Incarnation {
				return fmt.Sprintf("%s has %+v, current incarnation: %d", n.ID(), r, m.Core().Self().Incarnation)
			}
		}
	}
	return ""
}

// reachableGroups assigns a number to each group of processes that can find each other, directly or through
// others, by the address of a seed or an address that one of them knows.
func (o *oracle) reachableGroups() map[ident.InstanceID]int {
	out := make(map[ident.InstanceID]int)
	var visit func(n *fleet.Process, group int)
	visit = func(n *fleet.Process, group int) {
		out[n.ID()] = group
		for _, m := range o.f.Processes() {
			if _, done := out[m.ID()]; !done && o.participating(m) && o.side[n.ID()] == o.side[m.ID()] && (o.hasAddress(n, m) || o.hasAddress(m, n)) {
				visit(m, group)
			}
		}
	}
	for i, n := range o.f.Processes() {
		if _, done := out[n.ID()]; !done && o.participating(n) {
			visit(n, i)
		}
	}
	return out
}

// hasAddress reports whether n has an address of m to connect to. An address does not count if m has left since,
// because n may learn of the leave from others.
func (o *oracle) hasAddress(n, m *fleet.Process) bool {
	r, ok := n.Core().Find(m.ID())
	return ok && r.Full() && r.Incarnation > o.leftAt[m.ID()] || slices.Contains(config().Seeds, m.Core().Self().Peer)
}

// requireAgreement fails when the processes do not agree within the bound. No message is lost meanwhile.
func (o *oracle) requireAgreement(t require.TestingT, bound time.Duration) {
	loss := o.f.Network.Loss
	o.f.Network.Loss = 0
	groups := o.reachableGroups()
	var why string
	_, ok := o.f.RunUntil(bound, 100*time.Millisecond, func() bool {
		why = o.disagreement(groups)
		return why == ""
	})
	require.True(t, ok, "no agreement within %s: %s", bound, why)
	o.f.Network.Loss = loss
}

// requireNoOlderRecords fails when a process has replaced a record by an older one: a lower incarnation, or the
// same one with an earlier state.
func (o *oracle) requireNoOlderRecords(t require.TestingT) {
	for _, n := range o.f.Processes() {
		if !n.Running() {
			continue
		}
		if o.lastRecords[n] == nil {
			o.lastRecords[n] = make(map[ident.InstanceID]member.Record)
		}
		for _, r := range n.Core().Members() {
			old, ok := o.lastRecords[n][r.ID]
			require.False(t, ok && old.Newer(r), "%s replaced %+v by the older %+v", n.ID(), old, r)
			o.lastRecords[n][r.ID] = r
		}
	}
}

// Guards against instances that disagree on which members are live after message loss, delay, pauses, crashes,
// restarts, leaves and network partitions, and against records that are replaced by older ones.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(rapid.Uint64().Draw(t, "seed"))
		for o.count = range rapid.IntRange(2, 9).Draw(t, "instances") {
			o.start(o.count)
		}
		o.count++
		o.requireAgreement(t, healBound)
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { o.requireNoOlderRecords(t) },
			"advance": func(t *rapid.T) { o.advance(rapid.IntRange(1, 5000).Draw(t, "ms")) },
			"start": func(*rapid.T) {
				o.start(o.count)
				o.count++
			},
			"crash": func(t *rapid.T) {
				o.drawProcess(t, func(n *fleet.Process) bool { return n.Running() || n.Paused() }).Crash(rapid.Bool().Draw(t, "silent"))
			},
			"restart": func(t *rapid.T) {
				n := o.drawProcess(t, func(n *fleet.Process) bool { return !n.Running() && !n.Paused() })
				o.advance(1000)
				o.f.Start(n.Core().Self())
				delete(o.left, n.ID())
			},
			"pause":  func(t *rapid.T) { o.drawProcess(t, o.participating).Pause() },
			"resume": func(t *rapid.T) { o.drawProcess(t, (*fleet.Process).Paused).Resume() },
			"leave": func(t *rapid.T) {
				n := o.drawProcess(t, o.participating)
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
				o.requireNoOlderRecords(t)
			},
		})
		for _, n := range o.f.Processes() {
			if n.Paused() {
				n.Resume()
			}
		}
		o.split(0)
		o.requireAgreement(t, healBound)
		o.requireNoOlderRecords(t)
	})
}

func (o *oracle) advance(ms int) { o.f.Run(time.Duration(ms) * time.Millisecond) }

// split partitions the network: the bits of sides assign the instances to one of two sides.
func (o *oracle) split(sides uint64) {
	for i := range o.count {
		o.side[record(i).ID] = int(sides >> (i % 16) & 1)
	}
	o.f.Network.Connected = func(a, b ident.InstanceID) bool { return o.side[a] == o.side[b] }
}
