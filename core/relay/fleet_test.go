package relay_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/ring"
)

// readTime is what reading the store takes at most.
const (
	step     = 50 * time.Millisecond
	readTime = 300 * time.Millisecond
)

// fleet is a store and the instances that hear of it, in virtual time.
type fleet struct {
	now       time.Time
	revision  int
	revisions []int // the store's revision at each step
	nodes     map[netip.AddrPort]*node
	order     []*node
}

// node is one instance.
type node struct {
	self  ring.Member
	sub   *relay.Subscription
	known int
	// parted is cut off from all other instances, away from the store, which is silent. The node does not notice.
	parted, away bool
	// wakes is the time since when it watches the store.
	wakes time.Time
	// reached is the time since when it has had a path to the store.
	reached time.Time
	// asked is the source of the question under way, since the time.
	asked *node
	since time.Time
	// wait is the time for which that waits for news, timeout the time after which it has failed.
	wait, timeout time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{now: start, nodes: make(map[netip.AddrPort]*node)}
	ms := members(n)
	for _, m := range ms {
		x := &node{self: m, sub: relay.NewSubscription(m, start), reached: start}
		x.sub.SetMembers(ms, start)
		f.nodes[m.Peer] = x
		f.order = append(f.order, x)
	}
	return f
}

// age is the time since the node was up to date with the store, as far as it can tell.
func (f *fleet) age(x *node) time.Duration {
	if !x.wakes.IsZero() && f.now.Sub(x.wakes) >= readTime {
		return 0
	}
	return f.now.Sub(x.sub.UpToDate())
}

func (f *fleet) advance() {
	f.now = f.now.Add(step)
	f.revisions = append(f.revisions, f.revision)
	for _, x := range f.order {
		f.read(x)
		f.ask(x)
	}
}

// read lets the node hear from the store itself.
func (f *fleet) read(x *node) {
	if !x.sub.Watches(f.now) {
		x.wakes = time.Time{}
		return
	}
	if x.wakes.IsZero() {
		x.wakes = f.now
	}
	if !x.away && f.now.Sub(x.wakes) >= readTime {
		x.known = f.revision
	}
}

// ask lets the node ask a source, or its question end.
func (f *fleet) ask(x *node) {
	if !x.sub.Asks() {
		return
	}
	if s := x.asked; s != nil {
		silent := x.parted || s.parted
		switch waited := f.now.Sub(x.since); {
		case silent && waited >= x.timeout:
			x.sub.Failed(s.self.Peer, f.now)
			x.asked = nil
		case !silent && (s.known > x.known || waited >= x.wait):
			x.known = max(x.known, s.known)
			x.sub.Replied(s.self.Peer, f.age(s), f.now)
			x.asked = nil
		}
	}
	if x.asked == nil {
		if to, ok := x.sub.Source(f.now); ok {
			x.asked, x.since = f.nodes[to], f.now
			x.wait, x.timeout = x.sub.Wait()
		}
	}
}

// check compares what the instances know with what the store said the bound before.
func (f *fleet) check(t *rapid.T) {
	const bound = 2 * time.Second
	steps := int(bound / step)
	if len(f.revisions) <= steps {
		return
	}
	for _, x := range f.order {
		if !x.away && f.now.Sub(x.reached) >= bound {
			require.GreaterOrEqual(t, x.known, f.revisions[len(f.revisions)-1-steps], "%s", x.self.ID)
		}
	}
}

// run lets time pass; the store changes all the while.
func (f *fleet) run(t *rapid.T) {
	for range rapid.IntRange(1, 100).Draw(t, "steps") {
		f.revision++
		f.advance()
		f.check(t)
	}
}

// sources returns those that watch the store.
func (f *fleet) sources() []*node {
	var ms []ring.Member
	for _, x := range f.order {
		ms = append(ms, x.self)
	}
	var out []*node
	for _, m := range relay.Watchers(ms) {
		out = append(out, f.nodes[m.Peer])
	}
	return out
}

// Guards against an instance that reaches the store and does not hear of a change in time, because its sources are cut
// off from it: the bound is 2 s.
func TestNewsComesInTimeWithoutSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 60).Draw(t, "instances"))
		t.Repeat(map[string]func(*rapid.T){
			"time": f.run,
			"part": func(t *rapid.T) {
				x := rapid.SampledFrom(f.sources()).Draw(t, "source")
				x.parted = !x.parted
			},
		})
	})
}

// Guards against an instance that reaches the store and does not hear of a change in time, because the store is silent
// towards its sources, up to half of all that watch it: the bound is 2 s.
func TestNewsComesInTimeWhileTheStoreIsSilentTowardsSome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 60).Draw(t, "instances"))
		sources := f.sources()
		t.Repeat(map[string]func(*rapid.T){
			"time": f.run,
			"away": func(t *rapid.T) {
				away := 0
				for _, x := range sources {
					if x.away {
						away++
					}
				}
				x := rapid.SampledFrom(sources).Draw(t, "source")
				if !x.away && 2*(away+1) > len(sources) {
					t.Skip("too many are away")
				}
				x.away, x.reached = !x.away, f.now
			},
		})
	})
}
