package canary

import (
	"cmp"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Limits of the counts, and their decay.
const (
	// maxCountedRoutes is the number of routes with counts of their own. It bounds the size of reports.
	maxCountedRoutes = 8
	// otherRoute collects the calls on all further routes.
	otherRoute ident.RouteName = "other"
	// maxReportedServers is the number of servers in a report.
	maxReportedServers = 8
	// badCallDecay is the factor applied to a server's bad calls with each sample; after 30 s a sixth
	// remains.
	badCallDecay = 0.97
)

// CallCounts holds the outcomes of the calls of one version on one route since the rollout's start.
type CallCounts struct {
	Version  ident.VersionName
	Route    ident.RouteName
	Calls    int
	Failures int
	// Timed is the number of calls whose latency was compared with the threshold, and Slow the number of
	// those above it.
	Timed int
	Slow  int
}

type countKey struct {
	version ident.VersionName
	route   ident.RouteName
}

// ServerBadCalls holds the failed and slow calls at one server of the new version. They decay with time.
type ServerBadCalls struct {
	Server   ident.ServerID
	Failures float64
	Slow     float64
}

// counter counts the outcomes of this instance's calls.
type counter struct {
	spec      table.RolloutSpec
	counts    map[countKey]*CallCounts
	latencies map[ident.RouteName]*latencyQuantile
	badCalls  map[ident.ServerID]*ServerBadCalls
}

func newCounter(spec table.RolloutSpec) *counter {
	return &counter{
		spec:      spec,
		counts:    make(map[countKey]*CallCounts),
		latencies: make(map[ident.RouteName]*latencyQuantile),
		badCalls:  make(map[ident.ServerID]*ServerBadCalls),
	}
}

// record counts an outcome. Calls that were not executed are ignored, because health checking handles
// unreachable servers. With fewCalls the latency is ignored, because servers that have just started are
// slow in any version.
func (c *counter) record(o route.TryOutcome, fewCalls bool) {
	failed, executed := classify(o.Result)
	if !executed || o.Version != c.spec.From && o.Version != c.spec.To {
		return
	}
	r, q := c.quantileFor(o.Route)
	n := c.countFor(countKey{o.Version, r})
	n.Calls++
	slow := false
	if failed {
		n.Failures++
	} else if !fewCalls && q.ready() {
		n.Timed++
		if slow = q.isSlow(o.Latency); slow {
			n.Slow++
		}
	}
	if !failed && o.Version == c.spec.From {
		q.add(o.Latency)
	}
	if o.Version == c.spec.To && (failed || slow) {
		c.addBadCall(o.Server, failed)
	}
}

// classify reports whether a call failed, and whether it was executed as far as is known.
func classify(r route.Result) (failed, executed bool) {
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

func (c *counter) addBadCall(id ident.ServerID, failed bool) {
	s := c.badCalls[id]
	if s == nil {
		s = &ServerBadCalls{Server: id}
		c.badCalls[id] = s
	}
	if failed {
		s.Failures++
	} else {
		s.Slow++
	}
}

// decay reduces the servers' bad calls. It runs once per sample.
func (c *counter) decay() {
	for id, s := range c.badCalls {
		s.Failures *= badCallDecay
		s.Slow *= badCallDecay
		if s.Failures+s.Slow < 0.1 {
			delete(c.badCalls, id)
		}
	}
}

// worstServers returns the servers with the most recent bad calls, sorted by failures, then by slow calls.
func (c *counter) worstServers() []ServerBadCalls {
	out := make([]ServerBadCalls, 0, len(c.badCalls))
	for _, s := range c.badCalls {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b ServerBadCalls) int {
		return cmp.Or(cmp.Compare(b.Failures, a.Failures), cmp.Compare(b.Slow, a.Slow), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(len(out), maxReportedServers)]
}

// quantileFor returns the name under which the calls on the route are counted, and the quantile of their
// latencies.
func (c *counter) quantileFor(r ident.RouteName) (ident.RouteName, *latencyQuantile) {
	if r == "" {
		r = otherRoute
	}
	q, ok := c.latencies[r]
	if !ok && len(c.latencies) >= maxCountedRoutes {
		r = otherRoute
		q, ok = c.latencies[r]
	}
	if !ok {
		q = new(latencyQuantile)
		c.latencies[r] = q
	}
	return r, q
}

func (c *counter) countFor(k countKey) *CallCounts {
	n, ok := c.counts[k]
	if !ok {
		n = &CallCounts{Version: k.version, Route: k.route}
		c.counts[k] = n
	}
	return n
}

// sortedCounts returns all counts by version and route.
func (c *counter) sortedCounts() []CallCounts {
	out := make([]CallCounts, 0, len(c.counts))
	for _, n := range c.counts {
		out = append(out, *n)
	}
	slices.SortFunc(out, func(a, b CallCounts) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return out
}
