package canary

import (
	"math"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Thresholds of the statistical test.
const (
	// falseAlarmRate is the probability that the test rolls back a good version at any time.
	falseAlarmRate = 0.001
	// holdEvidence is the evidence against the new version from which a stage does not end, and
	// lowTrafficHoldEvidence that from which it does not end with less than the required calls.
	holdEvidence           = 20
	lowTrafficHoldEvidence = 4
	// minBaselineCalls is the number of the old version's calls from which its fractions are used as a
	// baseline after it has lost its traffic.
	minBaselineCalls = 100
	// minFailureLimit and minSlowLimit are the lowest limits on the fraction of bad calls when the old
	// version has no calls in the same period: bursts of calls slow down good versions, too.
	minFailureLimit = 0.03
	minSlowLimit    = 0.4
	// Bad calls are attributed to one outlier server instead of its version when it has at least
	// outlierMinCalls recent bad calls and the next-worst server of the version less than outlierMaxRatio
	// of that.
	outlierMinCalls = 2.5
	outlierMaxRatio = 0.25
	// outlierMaxSecond is the number of recent bad calls of the next-worst server below which the rollback
	// waits for more calls.
	outlierMaxSecond = 1.1
)

// metric is a kind of bad call.
type metric int

const (
	metricFailures metric = iota
	metricSlow
	metricCount
)

func (m metric) String() string {
	if m == metricSlow {
		return "slow calls"
	}
	return "failures"
}

// scope identifies a test: a metric on one route, or on all routes when the name is empty.
type scope struct {
	route  ident.RouteName
	metric metric
}

// evidence holds the counts of all instances and the tests on them.
type evidence struct {
	spec       table.RolloutSpec
	tests      map[scope]*sequentialTest
	ranks      map[scope]int
	totals     map[scope]*sample
	lastCounts map[ident.InstanceID]map[countKey]CallCounts
	badCalls   map[ident.InstanceID][]ServerBadCalls
	// newCalls and allCalls count the calls since the start of the stage.
	newCalls, allCalls int
	// newTimed is the number of the new version's calls in the stage whose latency was compared with the
	// threshold.
	newTimed int
}

func newEvidence(spec table.RolloutSpec) *evidence {
	return &evidence{
		spec:       spec,
		tests:      make(map[scope]*sequentialTest),
		ranks:      make(map[scope]int),
		totals:     make(map[scope]*sample),
		lastCounts: make(map[ident.InstanceID]map[countKey]CallCounts),
		badCalls:   make(map[ident.InstanceID][]ServerBadCalls),
	}
}

// addReport adds the counts of one instance. Their increase since its last report is one period. oldIdle
// says that the old version gets no calls any more.
func (e *evidence) addReport(sender ident.InstanceID, counts []CallCounts, badCalls []ServerBadCalls, oldIdle bool) {
	e.badCalls[sender] = badCalls
	last := e.lastCounts[sender]
	if last == nil {
		last = make(map[countKey]CallCounts)
		e.lastCounts[sender] = last
	}
	// Smaller counts come from a restarted sender or a late report; they replace the last counts without a
	// test.
	outdated := slices.ContainsFunc(counts, func(c CallCounts) bool { return c.Calls < last[countKey{c.Version, c.Route}].Calls })
	var periods map[scope]*sample
	if !outdated {
		periods = e.newSamples(last, counts)
	}
	for _, c := range counts {
		last[countKey{c.Version, c.Route}] = c
	}
	for _, sc := range sortedScopes(periods) {
		e.addSample(sc, *periods[sc], oldIdle)
	}
}

// newSamples returns the increase of the counts by scope.
func (e *evidence) newSamples(last map[countKey]CallCounts, counts []CallCounts) map[scope]*sample {
	out := make(map[scope]*sample)
	for _, c := range counts {
		l := last[countKey{c.Version, c.Route}]
		calls, timed := c.Calls-l.Calls, max(0, c.Timed-l.Timed)
		failures, slow := max(0, c.Failures-l.Failures), max(0, c.Slow-l.Slow)
		e.allCalls += calls
		if c.Version == e.spec.To {
			e.newCalls += calls
			e.newTimed += timed
		}
		for _, r := range []ident.RouteName{"", c.Route} {
			e.addCalls(out, scope{r, metricFailures}, c.Version, calls, min(failures, calls))
			e.addCalls(out, scope{r, metricSlow}, c.Version, timed, min(slow, timed))
		}
	}
	return out
}

func (e *evidence) addCalls(out map[scope]*sample, sc scope, v ident.VersionName, calls, bad int) {
	s := out[sc]
	if s == nil {
		s = new(sample)
		out[sc] = s
	}
	switch v {
	case e.spec.From:
		s.oldCalls += calls
		s.oldBad += bad
	case e.spec.To:
		s.newCalls += calls
		s.newBad += bad
	}
}

func (e *evidence) addSample(sc scope, s sample, oldIdle bool) {
	test := e.tests[sc]
	if test == nil {
		test = new(sequentialTest)
		e.tests[sc] = test
		e.totals[sc] = new(sample)
		if sc.route != "" {
			e.ranks[sc] = 1 + len(e.tests)/int(metricCount)
		}
	}
	total := e.totals[sc]
	switch r, ok := conditionalRatios(s); {
	case ok:
		test.addPeriod(r)
	case oldIdle && s.newCalls > 0 && total.oldCalls >= minBaselineCalls:
		test.addPeriod(fixedLimitRatios(s.newCalls, s.newBad, total.badCallLimit(sc.metric)))
	}
	total.oldCalls += s.oldCalls
	total.oldBad += s.oldBad
	total.newCalls += s.newCalls
	total.newBad += s.newBad
}

// badCallLimit returns the fraction of bad calls that the old version's counts allow the new one: the
// upper end of a normal 3-sigma interval, widened by toleratedOddsRatio.
func (s sample) badCallLimit(m metric) float64 {
	n := float64(s.oldCalls) + 4
	f := (float64(s.oldBad) + 2) / n
	f += 3 * math.Sqrt(f*(1-f)/n)
	minLimit := minFailureLimit
	if m == metricSlow {
		minLimit = minSlowLimit
	}
	return min(max(f*toleratedOddsRatio, minLimit), 0.9)
}

// strongest returns the scope with the strongest evidence, weighted to give all tests together one
// false-alarm rate: a quarter for each metric over all routes, and the rest for the single routes.
func (e *evidence) strongest() (scope, float64) {
	var out scope
	top := math.Inf(-1)
	for _, sc := range sortedScopes(e.tests) {
		if v := e.tests[sc].logEvidence() + math.Log(e.weight(sc)); v > top {
			out, top = sc, v
		}
	}
	return out, top
}

// weight returns the part of the false-alarm rate that a scope gets. For single routes it falls with the
// square of their rank, because the number of routes is not known in advance.
func (e *evidence) weight(sc scope) float64 {
	if sc.route == "" {
		return 0.25
	}
	r := float64(max(1, e.ranks[sc]))
	return 0.25 / (r * (r + 1))
}

// clear drops evidence that comes from one server, because health checking handles outlier
// servers. The test stays valid, because this can only lower the evidence.
func (e *evidence) clear() {
	for m := range metricCount {
		if !e.fromOneServer(m) {
			continue
		}
		for sc, test := range e.tests {
			if sc.metric == m && test.logEvidence() >= math.Log(lowTrafficHoldEvidence) {
				test.reset()
			}
		}
	}
}

// fromOneServer reports whether the recent bad calls of all instances come from one server.
func (e *evidence) fromOneServer(m metric) bool {
	first, second := e.worstServers(m)
	return first >= outlierMinCalls && second < outlierMaxRatio*first
}

// maybeFromOneServer reports whether the recent bad calls may come from one server, because the next-worst
// one has had one at most.
func (e *evidence) maybeFromOneServer(m metric) bool {
	first, second := e.worstServers(m)
	return first >= outlierMinCalls && second < outlierMaxSecond
}

// worstServers returns the recent bad calls of the two worst servers, summed over all instances.
func (e *evidence) worstServers(m metric) (first, second float64) {
	sums := make(map[ident.ServerID]float64)
	for _, list := range e.badCalls {
		for _, s := range list {
			if m == metricSlow {
				sums[s.Server] += s.Slow
			} else {
				sums[s.Server] += s.Failures
			}
		}
	}
	for _, v := range sums {
		if v > first {
			first, second = v, first
		} else {
			second = max(second, v)
		}
	}
	return first, second
}

// resetStageCounts resets the counts of the stage.
func (e *evidence) resetStageCounts() { e.newCalls, e.allCalls, e.newTimed = 0, 0, 0 }

func sortedScopes[V any](m map[scope]V) []scope {
	out := make([]scope, 0, len(m))
	for sc := range m {
		out = append(out, sc)
	}
	slices.SortFunc(out, func(a, b scope) int {
		if a.route != b.route {
			if a.route < b.route {
				return -1
			}
			return 1
		}
		return int(a.metric) - int(b.metric)
	})
	return out
}
