package canary

import (
	"math"
	"slices"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Levels of the test.
const (
	// falseAlarm is the probability with which a good version is ever rolled back by the test.
	falseAlarm = 0.001
	// suspicion is the evidence from which a rollout does not progress, and doubt that from which it
	// does not progress on few calls.
	suspicion = 20
	doubt     = 4
	// baselineCalls is the number of the old version's calls that make its fractions usable after it
	// has lost its traffic.
	baselineCalls = 100
	// baselineFailures and baselineSlow are the least fractions of bad calls that count as bad when no
	// calls of the old version run at the same time: bursts make calls of good versions slow, too.
	baselineFailures = 0.03
	baselineSlow     = 0.4
	// A server is at fault, and not its version, when it has at least faultCalls recent bad calls and the
	// next-worst server of the version less than faultRatio of that.
	faultCalls = 2.5
	faultRatio = 0.25
	// faultSecond is the number of recent bad calls of the next-worst server up to which the evidence
	// waits for more.
	faultSecond = 1.1
)

// metric is a way for a call to be bad.
type metric int

const (
	metricFailures metric = iota
	metricSlow
	metrics
)

func (m metric) String() string {
	if m == metricSlow {
		return "slow calls"
	}
	return "failures"
}

// scope is the routes that a test looks at: one, or all for the empty name.
type scope struct {
	route  ident.RouteName
	metric metric
}

// evidence collects the counts of all instances.
type evidence struct {
	move     table.RolloutSpec
	tests    map[scope]*process
	ranks    map[scope]int
	totals   map[scope]*sample
	last     map[ident.InstanceID]map[countKey]Count
	suspects map[ident.InstanceID][]Suspect
	// newCalls and allCalls count since the beginning of the stage.
	newCalls, allCalls int
	// newTimed counts those of the new version whose latency was judged.
	newTimed int
}

func newEvidence(m table.RolloutSpec) *evidence {
	return &evidence{
		move:     m,
		tests:    make(map[scope]*process),
		ranks:    make(map[scope]int),
		totals:   make(map[scope]*sample),
		last:     make(map[ident.InstanceID]map[countKey]Count),
		suspects: make(map[ident.InstanceID][]Suspect),
	}
}

// merge takes the counts of one instance since the rollout's start; what is new since its last ones is
// one period. alone says that the old version gets no traffic any more.
func (e *evidence) merge(sender ident.InstanceID, counts []Count, suspects []Suspect, alone bool) {
	e.suspects[sender] = suspects
	last := e.last[sender]
	if last == nil {
		last = make(map[countKey]Count)
		e.last[sender] = last
	}
	// Smaller counts come from a sender that restarted or from a late report: they are only noted.
	behind := slices.ContainsFunc(counts, func(c Count) bool { return c.Calls < last[countKey{c.Version, c.Route}].Calls })
	var periods map[scope]*sample
	if !behind {
		periods = e.periods(last, counts)
	}
	for _, c := range counts {
		last[countKey{c.Version, c.Route}] = c
	}
	for _, sc := range sortedScopes(periods) {
		e.test(sc, *periods[sc], alone)
	}
}

// periods returns the new calls of one report by scope.
func (e *evidence) periods(last map[countKey]Count, counts []Count) map[scope]*sample {
	out := make(map[scope]*sample)
	for _, c := range counts {
		l := last[countKey{c.Version, c.Route}]
		calls, timed := c.Calls-l.Calls, max(0, c.Timed-l.Timed)
		failures, slow := max(0, c.Failures-l.Failures), max(0, c.Slow-l.Slow)
		e.allCalls += calls
		if c.Version == e.move.To {
			e.newCalls += calls
			e.newTimed += timed
		}
		for _, r := range []ident.RouteName{"", c.Route} {
			e.sum(out, scope{r, metricFailures}, c.Version, calls, min(failures, calls))
			e.sum(out, scope{r, metricSlow}, c.Version, timed, min(slow, timed))
		}
	}
	return out
}

func (e *evidence) sum(out map[scope]*sample, sc scope, v ident.VersionName, calls, bad int) {
	s := out[sc]
	if s == nil {
		s = new(sample)
		out[sc] = s
	}
	switch v {
	case e.move.From:
		s.oldCalls += calls
		s.oldBad += bad
	case e.move.To:
		s.newCalls += calls
		s.newBad += bad
	}
}

func (e *evidence) test(sc scope, s sample, alone bool) {
	p := e.tests[sc]
	if p == nil {
		p = new(process)
		e.tests[sc] = p
		e.totals[sc] = new(sample)
		if sc.route != "" {
			e.ranks[sc] = 1 + len(e.tests)/int(metrics)
		}
	}
	total := e.totals[sc]
	switch r, ok := compare(s); {
	case ok:
		p.add(r)
	case alone && s.newCalls > 0 && total.oldCalls >= baselineCalls:
		p.add(exceed(s.newCalls, s.newBad, total.limit(sc.metric)))
	}
	total.oldCalls += s.oldCalls
	total.oldBad += s.oldBad
	total.newCalls += s.newCalls
	total.newBad += s.newBad
}

// limit returns the fraction of bad calls that the old version's counts allow the new one: the upper
// end of a normal 3-sigma interval, widened by tolerance.
func (s sample) limit(m metric) float64 {
	n := float64(s.oldCalls) + 4
	f := (float64(s.oldBad) + 2) / n
	f += 3 * math.Sqrt(f*(1-f)/n)
	least := baselineFailures
	if m == metricSlow {
		least = baselineSlow
	}
	return min(max(f*tolerance, least), 0.9)
}

// worst returns the scope with the largest evidence, weighted so that all tests together have one
// false-alarm probability: a quarter for each metric over all routes, the rest over the routes.
func (e *evidence) worst() (scope, float64) {
	var out scope
	top := math.Inf(-1)
	for _, sc := range sortedScopes(e.tests) {
		if v := e.tests[sc].value() + math.Log(e.weight(sc)); v > top {
			out, top = sc, v
		}
	}
	return out, top
}

// weight returns the share of a scope in the false-alarm probability. Those of the routes fall with the
// square of their rank, because their number is not known beforehand.
func (e *evidence) weight(sc scope) float64 {
	if sc.route == "" {
		return 0.25
	}
	r := float64(max(1, e.ranks[sc]))
	return 0.25 / (r * (r + 1))
}

// clear drops the evidence that came from one server at fault, which is health's concern. Dropping it
// keeps the test valid: it can only lower the value.
func (e *evidence) clear() {
	for m := range metrics {
		if !e.concentrated(m) {
			continue
		}
		for sc, p := range e.tests {
			if sc.metric == m && p.value() >= math.Log(doubt) {
				p.restart()
			}
		}
	}
}

// concentrated reports whether the recent bad calls of all instances come from one server.
func (e *evidence) concentrated(m metric) bool {
	first, second := e.worstServers(m)
	return first >= faultCalls && second < faultRatio*first
}

// doubtful reports whether the recent bad calls may come from one server, because the next-worst one
// has not had more than one.
func (e *evidence) doubtful(m metric) bool {
	first, second := e.worstServers(m)
	return first >= faultCalls && second < faultSecond
}

// worstServers returns the recent bad calls of the two worst servers, over all instances.
func (e *evidence) worstServers(m metric) (first, second float64) {
	sums := make(map[ident.ServerID]float64)
	for _, list := range e.suspects {
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

// newStage starts the counts of a stage.
func (e *evidence) newStage() { e.newCalls, e.allCalls, e.newTimed = 0, 0, 0 }

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
