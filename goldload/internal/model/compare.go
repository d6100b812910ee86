package model

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
)

// Options configure a comparison.
type Options struct {
	Deployments []Deployment
	Duration    time.Duration
	Deadline    time.Duration
	Seed        uint64
	// Workers is the number of concurrent runs.
	Workers int
}

// comparison is a set of policies that are compared under the same conditions. The first policy is the one
// that goldcreststand uses.
type comparison struct {
	title      string
	policies   []Policy
	conditions []condition
}

// condition holds the parameters in which the scenarios of a comparison differ.
type condition struct {
	load   float64
	bursts bool
	skew   float64
	faults []Fault
}

func (c condition) String() string {
	names := make([]string, 0, 3)
	for _, f := range c.faults {
		names = append(names, f.Name())
	}
	if c.bursts {
		names = append(names, "bursts")
	}
	if c.skew > 0 {
		names = append(names, fmt.Sprintf("skew-%.0f%%", c.skew*100))
	}
	if len(names) == 0 {
		names = append(names, "steady")
	}
	return fmt.Sprintf("%s %.2f", strings.Join(names, "+"), c.load)
}

// Comparisons returns the names of the comparisons.
func Comparisons() []string { return []string{"route", "shares", "queue"} }

// Compare runs the named comparison and writes a table for each deployment.
func Compare(w io.Writer, name string, o Options) error {
	cmp, err := newComparison(name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "## %s (seed %d, %v of calls with a deadline of %v)\n\n", cmp.title, o.Seed, o.Duration, o.Deadline)
	for _, d := range o.Deployments {
		if err != nil {
			return err
		}
		err = cmp.write(w, d, o)
	}
	return err
}

func newComparison(name string) (*comparison, error) {
	switch name {
	case "route":
		return routeComparison(), nil
	case "shares":
		return sharesComparison(), nil
	case "queue":
		return queueComparison(), nil
	default:
		return nil, fmt.Errorf("unknown comparison %q, want one of %s", name, strings.Join(Comparisons(), ", "))
	}
}

func routeComparison() *comparison {
	withPicker := func(name string, p func() route.Picker) Policy {
		return Policy{Name: name, Picker: p, Splitter: limit.LocalFirstSplitter{}}
	}
	return &comparison{
		title: "server selection",
		policies: []Policy{
			withPicker("proportional", func() route.Picker { return route.Proportional{} }),
			withPicker("leastcost", func() route.Picker { return route.LeastCost{} }),
			withPicker("leastinflight", func() route.Picker { return route.LeastInflight{} }),
			withPicker("twochoices", func() route.Picker { return route.TwoChoices{} }),
			withPicker("roundrobin", func() route.Picker { return new(route.RoundRobin) }),
			withPicker("random", func() route.Picker { return route.Random{} }),
		},
		conditions: []condition{
			{load: 0.5},
			{load: 0.8},
			{load: 1.2},
			{load: 0.5, bursts: true},
			{load: 0.3, faults: []Fault{NoisyNeighbour{}}},
			{load: 0.5, faults: []Fault{NoisyNeighbour{}}},
			{load: 0.8, faults: []Fault{NoisyNeighbour{}}},
			{load: 0.5, bursts: true, faults: []Fault{NoisyNeighbour{}}},
			{load: 0.5, faults: []Fault{NoisyNeighbour{}, StaleLoadReports{}}},
			{load: 0.5, faults: []Fault{FastFailure{}}},
			{load: 0.8, faults: []Fault{FastFailure{}}},
			{load: 0.5, faults: []Fault{ColdRestart{}}},
			{load: 0.5, faults: []Fault{DomainOutage{}}},
		},
	}
}

func sharesComparison() *comparison {
	withSplitter := func(name string, s limit.Splitter) Policy {
		return Policy{Name: name, Picker: func() route.Picker { return route.Proportional{} }, Splitter: s}
	}
	return &comparison{
		title:    "division of slots between instances",
		policies: []Policy{withSplitter("near", limit.LocalFirstSplitter{}), withSplitter("spread", limit.EvenSplitter{}), withSplitter("whole", limit.SingleInstanceSplitter{})},
		conditions: []condition{
			{load: 0.5},
			{load: 0.8},
			{load: 0.5, bursts: true},
			{load: 0.5, skew: 0.4},
			{load: 0.5, skew: 0.6},
			{load: 0.5, faults: []Fault{NoisyNeighbour{}}},
			{load: 0.8, faults: []Fault{NoisyNeighbour{}}},
			{load: 0.5, faults: []Fault{InstanceRestart{Count: 1}}},
			{load: 0.7, faults: []Fault{InstanceRestart{Count: 1}}},
			{load: 0.5, faults: []Fault{InstanceRestart{Count: 3}}},
			{load: 0.5, faults: []Fault{InstanceRestart{Count: 4}}},
			{load: 0.5, faults: []Fault{DomainOutage{}}},
			{load: 0.65, faults: []Fault{DomainOutage{}}},
			{load: 0.5, faults: []Fault{DomainOutOfService{}}},
			{load: 0.65, faults: []Fault{DomainOutOfService{}}},
		},
	}
}

func queueComparison() *comparison {
	withAdmission := func(name string, a Admission) Policy {
		return Policy{Name: name, Picker: func() route.Picker { return route.Proportional{} }, Splitter: limit.LocalFirstSplitter{}, Admission: a}
	}
	return &comparison{
		title:    "admission",
		policies: []Policy{withAdmission("queue", AdmissionQueue), withAdmission("fifo", AdmissionFIFO), withAdmission("none", AdmissionNoQueue)},
		conditions: []condition{
			{load: 0.5},
			{load: 0.8},
			{load: 1.0},
			{load: 1.5},
			{load: 0.3, bursts: true},
			{load: 0.5, bursts: true},
			{load: 0.8, bursts: true},
			{load: 0.5, bursts: true, faults: []Fault{NoisyNeighbour{}}},
			{load: 0.5, bursts: true, faults: []Fault{DomainOutage{}}},
		},
	}
}

// write runs all policies under all conditions for the deployment and writes a table.
func (cmp *comparison) write(w io.Writer, d Deployment, o Options) error {
	_, err := fmt.Fprintf(w, "%s: %d servers x %d slots, %d instances\n%-26s %-14s %8s %8s %8s %7s %7s %7s %7s %7s %8s %5s  %s\n",
		d.Name, d.Servers, d.Slots, d.ServingInstances, "condition", "policy", "p50 ms", "p99 ms", "p99.9 ms",
		"rej %", "late %", "fail %", "steady%", "urg %", "rej ms", "over", "p99 and p99.9 relative to "+cmp.policies[0].Name)
	for i, reports := range cmp.runs(d, o) {
		for j, r := range reports {
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(w, "%-26s %-14s %8.2f %8.2f %8.2f %7.2f %7.2f %7.2f %7.2f %7.2f %8.2f %5d  %.2f %.2f\n",
				cmp.conditions[i], cmp.policies[j].Name, ms(r.Latency(50)), ms(r.Latency(99)), ms(r.Latency(99.9)),
				100*r.Fraction(OutcomeRejected), 100*r.Fraction(OutcomeLate), 100*r.Fraction(OutcomeFailed), 100*r.SteadyRejected(), 100*r.UrgentRejected(),
				ms(r.RejectionTime(50)), r.MaxExcess, latencyRatio(r, reports[0], 99), latencyRatio(r, reports[0], 99.9))
		}
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return err
}

// runs simulates all policies under all conditions and returns the reports by condition and policy.
func (cmp *comparison) runs(d Deployment, o Options) [][]*Report {
	out := make([][]*Report, len(cmp.conditions))
	running := make(chan struct{}, max(1, o.Workers))
	var wg sync.WaitGroup
	for i, c := range cmp.conditions {
		out[i] = make([]*Report, len(cmp.policies))
		for j, p := range cmp.policies {
			running <- struct{}{}
			wg.Go(func() {
				defer func() { <-running }()
				out[i][j] = Run(Scenario{
					Deployment: d, Load: c.load, Bursts: c.bursts, Skew: c.skew, Faults: c.faults,
					Deadline: o.Deadline, Duration: o.Duration, Seed: o.Seed,
				}, p)
			})
		}
	}
	wg.Wait()
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latencyRatio returns a's latency quantile as a multiple of b's.
func latencyRatio(a, b *Report, q float64) float64 {
	if b.Latency(q) == 0 {
		return 0
	}
	return float64(a.Latency(q)) / float64(b.Latency(q))
}
