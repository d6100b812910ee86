package canary

import (
	"cmp"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Sizes of the counts.
const (
	// maxRoutes bounds the routes that are counted apart, because each costs bytes in reports.
	maxRoutes = 8
	// otherRoute takes the calls on all further routes.
	otherRoute ident.RouteName = "other"
	// maxSuspects bounds the servers in a report.
	maxSuspects = 8
	// tallyDecay is the factor by which the tallies of a server's bad calls fall with each sample, to a
	// sixth in 30 s.
	tallyDecay = 0.97
)

// Count sums the outcomes of the calls of one version on one route since the rollout's start.
type Count struct {
	Version  ident.VersionName
	Route    ident.RouteName
	Calls    int
	Failures int
	// Timed is the number of calls whose latency was judged, and Slow that of the slow ones among them.
	Timed int
	Slow  int
}

type countKey struct {
	version ident.VersionName
	route   ident.RouteName
}

// Suspect holds the recent bad calls at one backend server of the new version; older ones count less.
type Suspect struct {
	Server   ident.ServerID
	Failures float64
	Slow     float64
}

// counter sums the outcomes of this instance's calls.
type counter struct {
	move     table.RolloutSpec
	counts   map[countKey]*Count
	routes   map[ident.RouteName]*quantile
	suspects map[ident.ServerID]*Suspect
}

func newCounter(m table.RolloutSpec) *counter {
	return &counter{
		move:     m,
		counts:   make(map[countKey]*Count),
		routes:   make(map[ident.RouteName]*quantile),
		suspects: make(map[ident.ServerID]*Suspect),
	}
}

// add counts an outcome. Calls that were not executed say nothing about a version, because health
// deals with servers that cannot be reached. A fresh server is slow for other reasons than its version.
func (c *counter) add(o route.TryOutcome, fresh bool) {
	failed, executed := judge(o.Result)
	if !executed || o.Version != c.move.From && o.Version != c.move.To {
		return
	}
	r, q := c.route(o.Route)
	n := c.count(countKey{o.Version, r})
	n.Calls++
	slow := false
	if failed {
		n.Failures++
	} else if !fresh && q.known() {
		n.Timed++
		if slow = q.slow(o.Latency); slow {
			n.Slow++
		}
	}
	if !failed && o.Version == c.move.From {
		q.add(o.Latency)
	}
	if o.Version == c.move.To && (failed || slow) {
		c.suspect(o.Server, failed)
	}
}

// judge reports whether a call failed, and whether it was executed as far as is known.
func judge(r route.Result) (failed, executed bool) {
	switch r {
	case route.ResultOK:
		return false, true
	case route.ResultFailed, route.ResultBroken, route.ResultTimeout:
		return true, true
	case route.ResultShed, route.ResultRefused, route.ResultCanceled:
		return false, false
	}
	return false, false
}

func (c *counter) suspect(id ident.ServerID, failed bool) {
	s := c.suspects[id]
	if s == nil {
		s = &Suspect{Server: id}
		c.suspects[id] = s
	}
	if failed {
		s.Failures++
	} else {
		s.Slow++
	}
}

// decay lets the tallies of the servers fall, once per sample.
func (c *counter) decay() {
	for id, s := range c.suspects {
		s.Failures *= tallyDecay
		s.Slow *= tallyDecay
		if s.Failures+s.Slow < 0.1 {
			delete(c.suspects, id)
		}
	}
}

// worst returns the servers with the most recent bad calls, failures first.
func (c *counter) worst() []Suspect {
	out := make([]Suspect, 0, len(c.suspects))
	for _, s := range c.suspects {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Slow, a.Slow), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(len(out), maxSuspects)]
}

func (c *counter) route(r ident.RouteName) (ident.RouteName, *quantile) {
	if r == "" {
		r = otherRoute
	}
	q, ok := c.routes[r]
	if !ok && len(c.routes) >= maxRoutes {
		r = otherRoute
		q, ok = c.routes[r]
	}
	if !ok {
		q = new(quantile)
		c.routes[r] = q
	}
	return r, q
}

func (c *counter) count(k countKey) *Count {
	n, ok := c.counts[k]
	if !ok {
		n = &Count{Version: k.version, Route: k.route}
		c.counts[k] = n
	}
	return n
}

// list returns all counts in a fixed order.
func (c *counter) list() []Count {
	out := make([]Count, 0, len(c.counts))
	for _, n := range c.counts {
		out = append(out, *n)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return out
}
