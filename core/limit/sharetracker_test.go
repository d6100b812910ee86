package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/table"
)

// A view of the members is at most lag old, and a snapshot is valid for validity.
const (
	lag      = 5 * time.Second
	validity = 2 * time.Second
	stepTime = 500 * time.Millisecond
)

// simInstance is one simulated instance with its own view of the members.
type simInstance struct {
	member   place.Instance
	shares   *limit.ShareTracker
	lastSeen time.Duration
	paused   bool
	// lag is the delay with which the instance learns of a change.
	lag time.Duration
	// view is the last known view; after a pause it stays in use until staleUntil.
	view       shareView
	staleUntil time.Duration
}

// shareSimulation is a service whose members change; each instance learns of a change with its own
// delay.
type shareSimulation struct {
	now        time.Duration
	splitter   limit.Splitter
	caps       []limit.Cap
	allMembers []place.Instance
	instances  []*simInstance
	// views holds the members by the time since which they are current.
	views []shareView
	peak  ident.Slots
}

type shareView struct {
	since time.Duration
	plan  map[ident.InstanceID]limit.Shares
}

func (w *shareSimulation) change(members []place.Instance) {
	plan := w.splitter.Split("svc", w.caps, limit.ActiveInstances(new(table.Table), place.ServingInstances("svc", members, 4)))
	w.views = append(w.views, shareView{w.now, plan})
}

// known returns the view that the instance has now.
func (w *shareSimulation) known(h *simInstance) shareView {
	if w.now < h.staleUntil {
		return h.view
	}
	i := len(w.views) - 1
	for i > 0 && w.views[i].since > w.now-h.lag {
		i--
	}
	return w.views[i]
}

func (w *shareSimulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				w.now += stepTime
				for _, h := range w.instances {
					if !h.paused {
						h.view = w.known(h)
						h.shares.Observe(w.now, h.view.plan[h.member.ID])
						h.lastSeen = w.now
					}
				}
				w.check(t)
			}
		},
		"change": func(t *rapid.T) {
			if last := w.views[len(w.views)-1].since; w.now-last < lag {
				t.Skip("members changed a moment ago")
			}
			n := rapid.IntRange(1, len(w.allMembers)).Draw(t, "members")
			w.change(rapid.Permutation(w.allMembers).Draw(t, "order")[:n])
		},
		"pause": func(t *rapid.T) {
			h := rapid.SampledFrom(w.instances).Draw(t, "holder")
			h.paused = !h.paused
			h.staleUntil = w.now + h.lag
		},
		"drift": func(t *rapid.T) {
			h := rapid.SampledFrom(w.instances).Draw(t, "holder")
			h.lag = time.Duration(rapid.IntRange(0, int(lag/stepTime)).Draw(t, "lag")) * stepTime
		},
		"restart": func(t *rapid.T) {
			rapid.SampledFrom(w.instances).Draw(t, "holder").shares = limit.NewShareTracker()
		},
	}
}

func (w *shareSimulation) check(t *rapid.T) {
	for _, c := range w.caps {
		var sum ident.Slots
		for _, h := range w.instances {
			if w.now <= h.lastSeen+validity {
				sum += h.shares.Share(c.Server)
			}
		}
		require.LessOrEqual(t, sum, c.Slots, "effective shares at %s", c.Server)
		w.peak = max(w.peak, sum)
	}
}

// Guards against more calls in flight than a server has slots while instances start, stop, pause and
// have different views of each other.
func TestEffectiveSharesNeverExceedCaps(t *testing.T) {
	used := false
	rapid.Check(t, func(t *rapid.T) {
		w := &shareSimulation{
			now: time.Minute, splitter: rapid.SampledFrom(splitters).Draw(t, "splitter"),
			caps:       limit.Caps(new(table.Table), servers(rapid.IntRange(1, 6).Draw(t, "servers"), ident.Slots(rapid.IntRange(1, 4).Draw(t, "slots")))),
			allMembers: instances(8),
		}
		w.change(w.allMembers)
		for _, n := range w.allMembers {
			w.instances = append(w.instances, &simInstance{member: n, shares: limit.NewShareTracker(), view: w.views[0]})
		}
		t.Repeat(w.actions())
		used = used || w.peak == w.caps[0].Slots
	})
	require.True(t, used, "no run used all slots of a server")
}

// Guards against a larger share that takes effect before ShareIncreaseDelay, against a smaller one that
// doesn't take effect at once, and against shares that survive a pause.
func TestShareTrackerDelaysIncreasesOnly(t *testing.T) {
	l := limit.NewShareTracker()
	at := func(s time.Duration, assigned ident.Slots) ident.Slots {
		l.Observe(s, limit.Shares{"s": assigned})
		return l.Share("s")
	}
	for i, c := range []struct {
		at       time.Duration
		assigned ident.Slots
		want     ident.Slots
	}{
		{0, 2, 0},
		{2, 2, 0},
		{4, 2, 0},
		{5, 2, 0},
		{6, 2, 2},
		{7, 1, 1},
		{8, 3, 1},
		{10, 3, 1},
		{12, 3, 1},
		{13, 3, 1},
		{14, 3, 3},
		{17, 3, 0},
		{19, 3, 0},
		{21, 3, 0},
		{23, 3, 3},
		{24, 0, 0},
	} {
		require.Equal(t, c.want, at(c.at*time.Second, c.assigned), fmt.Sprintf("step %d at %d s", i, c.at))
	}
}
