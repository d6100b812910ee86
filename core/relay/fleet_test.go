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

const (
	step = 50 * time.Millisecond
	// readTime is the maximum time of reading the store.
	readTime = 300 * time.Millisecond
)

// fleet simulates a store and the instances that follow it, in virtual time.
type fleet struct {
	now       time.Time
	revision  int
	revisions []int // the store's revision at each step
	instances map[netip.AddrPort]*instance
	ordered   []*instance
}

// instance is one simulated instance.
type instance struct {
	self  ring.Member
	sub   *relay.Subscription
	known int
	// partitioned says that no other instance is reachable, and storeSilent that the store sends no
	// changes, which the instance does not notice.
	partitioned, storeSilent bool
	// watchesSince is the time since when it has watched the store.
	watchesSince time.Time
	// reachableSince is the time since when the store has sent it changes.
	reachableSince time.Time
	// polled is the source of the pending poll, and polledAt when that started.
	polled   *instance
	polledAt time.Time
	// wait is the time for which the source may hold the poll, timeout the time after which it has failed.
	wait, timeout time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{now: start, instances: make(map[netip.AddrPort]*instance)}
	ms := members(n)
	for _, m := range ms {
		x := &instance{self: m, sub: relay.NewSubscription(m, start), reachableSince: start}
		x.sub.SetMembers(ms, start)
		f.instances[m.Peer] = x
		f.ordered = append(f.ordered, x)
	}
	return f
}

// age returns the time since the instance was up to date with the store, as far as it knows.
func (f *fleet) age(x *instance) time.Duration {
	if !x.watchesSince.IsZero() && f.now.Sub(x.watchesSince) >= readTime {
		return 0
	}
	return f.now.Sub(x.sub.UpToDate())
}

func (f *fleet) advance() {
	f.now = f.now.Add(step)
	f.revisions = append(f.revisions, f.revision)
	for _, x := range f.ordered {
		f.read(x)
		f.poll(x)
	}
}

// read simulates the instance's watch on the store.
func (f *fleet) read(x *instance) {
	if !x.sub.WatchesStore(f.now) {
		x.watchesSince = time.Time{}
		return
	}
	if x.watchesSince.IsZero() {
		x.watchesSince = f.now
	}
	if !x.storeSilent && f.now.Sub(x.watchesSince) >= readTime {
		x.known = f.revision
	}
}

// poll ends the instance's pending poll when it is due and starts the next one.
func (f *fleet) poll(x *instance) {
	if !x.sub.PollsPeers() {
		return
	}
	if s := x.polled; s != nil {
		silent := x.partitioned || s.partitioned
		switch waited := f.now.Sub(x.polledAt); {
		case silent && waited >= x.timeout:
			x.sub.HandleFailure(s.self.Peer, f.now)
			x.polled = nil
		case !silent && (s.known > x.known || waited >= x.wait):
			x.known = max(x.known, s.known)
			x.sub.HandleReply(s.self.Peer, f.age(s), f.now)
			x.polled = nil
		}
	}
	if x.polled == nil {
		if to, ok := x.sub.NextSource(f.now); ok {
			x.polled, x.polledAt = f.instances[to], f.now
			x.wait, x.timeout = x.sub.PollTimes()
		}
	}
}

// check requires that each instance knows at least the store's revision of 2 s ago.
func (f *fleet) check(t *rapid.T) {
	const bound = 2 * time.Second
	steps := int(bound / step)
	if len(f.revisions) <= steps {
		return
	}
	for _, x := range f.ordered {
		if !x.storeSilent && f.now.Sub(x.reachableSince) >= bound {
			require.GreaterOrEqual(t, x.known, f.revisions[len(f.revisions)-1-steps], "%s", x.self.ID)
		}
	}
}

// run simulates a number of steps; the store changes in each.
func (f *fleet) run(t *rapid.T) {
	for range rapid.IntRange(1, 100).Draw(t, "steps") {
		f.revision++
		f.advance()
		f.check(t)
	}
}

// sources returns the instances that watch the store.
func (f *fleet) sources() []*instance {
	var ms []ring.Member
	for _, x := range f.ordered {
		ms = append(ms, x.self)
	}
	var out []*instance
	for _, m := range relay.Watchers(ms) {
		out = append(out, f.instances[m.Peer])
	}
	return out
}

// Guards against an instance that reaches the store but learns of a change later than 2 s after it,
// because its sources are partitioned from it.
func TestChangesArriveInTimeWithPartitionedSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 60).Draw(t, "instances"))
		t.Repeat(map[string]func(*rapid.T){
			"time": f.run,
			"partition": func(t *rapid.T) {
				x := rapid.SampledFrom(f.sources()).Draw(t, "source")
				x.partitioned = !x.partitioned
			},
		})
	})
}

// Guards against an instance that reaches the store but learns of a change later than 2 s after it,
// because the store sends no changes to up to half of its watchers.
func TestChangesArriveInTimeWithSilentStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 60).Draw(t, "instances"))
		sources := f.sources()
		t.Repeat(map[string]func(*rapid.T){
			"time": f.run,
			"silence": func(t *rapid.T) {
				silent := 0
				for _, x := range sources {
					if x.storeSilent {
						silent++
					}
				}
				x := rapid.SampledFrom(sources).Draw(t, "source")
				if !x.storeSilent && 2*(silent+1) > len(sources) {
					t.Skip("the store is silent to too many watchers")
				}
				x.storeSilent, x.reachableSince = !x.storeSilent, f.now
			},
		})
	})
}
