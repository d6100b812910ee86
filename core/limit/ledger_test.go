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

// Delays of the design page: a view is at most lag old, and a snapshot is valid for validity.
const (
	lag      = 5 * time.Second
	validity = 2 * time.Second
	stepTime = 500 * time.Millisecond
)

// holder is one instance with its own view of the members.
type holder struct {
	node   place.Instance
	ledger *limit.Ledger
	seen   time.Duration
	paused bool
	// lag is how late the instance learns of a change.
	lag time.Duration
	// view is what the instance knew last; after a pause it still knows that until stale.
	view  shareView
	stale time.Duration
}

// shareWorld is a service whose members change while the instances know of it late, in any order.
type shareWorld struct {
	now      time.Duration
	splitter limit.Splitter
	caps     []limit.Cap
	all      []place.Instance
	holders  []*holder
	// views are the members as they were, by the time at which each became true.
	views []shareView
	peak  ident.Slots
}

type shareView struct {
	since time.Duration
	plan  map[ident.InstanceID]limit.Shares
}

func (w *shareWorld) change(members []place.Instance) {
	plan := w.splitter.Split("svc", w.caps, limit.Serving(new(table.Table), place.ServingInstances("svc", members, 4)))
	w.views = append(w.views, shareView{w.now, plan})
}

// known returns what the instance knows now.
func (w *shareWorld) known(h *holder) shareView {
	if w.now < h.stale {
		return h.view
	}
	i := len(w.views) - 1
	for i > 0 && w.views[i].since > w.now-h.lag {
		i--
	}
	return w.views[i]
}

func (w *shareWorld) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				w.now += stepTime
				for _, h := range w.holders {
					if !h.paused {
						h.view = w.known(h)
						h.ledger.Observe(w.now, h.view.plan[h.node.ID])
						h.seen = w.now
					}
				}
				w.check(t)
			}
		},
		"change": func(t *rapid.T) {
			if last := w.views[len(w.views)-1].since; w.now-last < lag {
				t.Skip("members changed a moment ago")
			}
			n := rapid.IntRange(1, len(w.all)).Draw(t, "members")
			w.change(rapid.Permutation(w.all).Draw(t, "order")[:n])
		},
		"pause": func(t *rapid.T) {
			h := rapid.SampledFrom(w.holders).Draw(t, "holder")
			h.paused = !h.paused
			h.stale = w.now + h.lag
		},
		"drift": func(t *rapid.T) {
			h := rapid.SampledFrom(w.holders).Draw(t, "holder")
			h.lag = time.Duration(rapid.IntRange(0, int(lag/stepTime)).Draw(t, "lag")) * stepTime
		},
		"restart": func(t *rapid.T) {
			rapid.SampledFrom(w.holders).Draw(t, "holder").ledger = limit.NewLedger()
		},
	}
}

func (w *shareWorld) check(t *rapid.T) {
	for _, c := range w.caps {
		var sum ident.Slots
		for _, h := range w.holders {
			if w.now <= h.seen+validity {
				sum += h.ledger.Share(c.Server)
			}
		}
		require.LessOrEqual(t, sum, c.Slots, "shares in force at %s", c.Server)
		w.peak = max(w.peak, sum)
	}
}

// Guards against more calls in flight than a server has slots while instances start, stop, pause and
// differ in what they know of each other.
func TestSharesInForceNeverExceedCaps(t *testing.T) {
	used := false
	rapid.Check(t, func(t *rapid.T) {
		w := &shareWorld{
			now: time.Minute, splitter: rapid.SampledFrom(splitters).Draw(t, "splitter"),
			caps: limit.Caps(new(table.Table), servers(rapid.IntRange(1, 6).Draw(t, "servers"), ident.Slots(rapid.IntRange(1, 4).Draw(t, "slots")))),
			all:  nodes(8),
		}
		w.change(w.all)
		for _, n := range w.all {
			w.holders = append(w.holders, &holder{node: n, ledger: limit.NewLedger(), view: w.views[0]})
		}
		t.Repeat(w.actions())
		used = used || w.peak == w.caps[0].Slots
	})
	require.True(t, used, "no run brought all slots of a server into force")
}

// Guards against a share that is taken before TakeDelay or kept after a decrease, and against shares
// that survive a pause.
func TestLedgerDelaysIncreasesOnly(t *testing.T) {
	l := limit.NewLedger()
	at := func(s time.Duration, due ident.Slots) ident.Slots {
		l.Observe(s, limit.Shares{"s": due})
		return l.Share("s")
	}
	for i, c := range []struct {
		at   time.Duration
		due  ident.Slots
		want ident.Slots
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
		require.Equal(t, c.want, at(c.at*time.Second, c.due), fmt.Sprintf("step %d at %d s", i, c.at))
	}
}
