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

// Options bound a comparison.
type Options struct {
	Deployments []Deployment
	Time        time.Duration
	Deadline    time.Duration
	Seed        uint64
	// Workers is the number of runs at the same time.
	Workers int
}

// section is a set of policies that are compared over the same conditions. The first is the one in use.
type section struct {
	title      string
	policies   []Policy
	conditions []condition
}

// condition is what varies between the scenarios of a section.
type condition struct {
	load   float64
	waves  bool
	skew   float64
	faults []Fault
}

func (c condition) String() string {
	names := make([]string, 0, 3)
	for _, f := range c.faults {
		names = append(names, f.Name())
	}
	if c.waves {
		names = append(names, "waves")
	}
	if c.skew > 0 {
		names = append(names, fmt.Sprintf("skew-%.0f%%", c.skew*100))
	}
	if len(names) == 0 {
		names = append(names, "steady")
	}
	return fmt.Sprintf("%s %.2f", strings.Join(names, "+"), c.load)
}

// Sections returns the names of the comparisons.
func Sections() []string { return []string{"route", "shares", "queue"} }

// Compare runs the named comparison and writes its tables.
func Compare(w io.Writer, name string, o Options) error {
	s, err := newSection(name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "## %s (seed %d, %v of calls with a deadline of %v)\n\n", s.title, o.Seed, o.Time, o.Deadline)
	for _, d := range o.Deployments {
		if err != nil {
			return err
		}
		err = s.write(w, d, o)
	}
	return err
}

func newSection(name string) (*section, error) {
	switch name {
	case "route":
		return routeSection(), nil
	case "shares":
		return sharesSection(), nil
	case "queue":
		return queueSection(), nil
	default:
		return nil, fmt.Errorf("unknown comparison %q, want one of %s", name, strings.Join(Sections(), ", "))
	}
}

func routeSection() *section {
	pick := func(name string, p func() route.Picker) Policy {
		return Policy{Name: name, Picker: p, Splitter: limit.LocalFirstSplitter{}}
	}
	return &section{
		title: "server selection",
		policies: []Policy{
			pick("proportional", func() route.Picker { return route.Proportional{} }),
			pick("leastcost", func() route.Picker { return route.LeastCost{} }),
			pick("leastinflight", func() route.Picker { return route.LeastInflight{} }),
			pick("twochoices", func() route.Picker { return route.TwoChoices{} }),
			pick("roundrobin", func() route.Picker { return new(route.RoundRobin) }),
			pick("random", func() route.Picker { return route.Random{} }),
		},
		conditions: []condition{
			{load: 0.5},
			{load: 0.8},
			{load: 1.2},
			{load: 0.5, waves: true},
			{load: 0.3, faults: []Fault{Noisy{}}},
			{load: 0.5, faults: []Fault{Noisy{}}},
			{load: 0.8, faults: []Fault{Noisy{}}},
			{load: 0.5, waves: true, faults: []Fault{Noisy{}}},
			{load: 0.5, faults: []Fault{Noisy{}, Stale{}}},
			{load: 0.5, faults: []Fault{FastFail{}}},
			{load: 0.8, faults: []Fault{FastFail{}}},
			{load: 0.5, faults: []Fault{Cold{}}},
			{load: 0.5, faults: []Fault{DomainOut{}}},
		},
	}
}

func sharesSection() *section {
	divide := func(name string, s limit.Splitter) Policy {
		return Policy{Name: name, Picker: func() route.Picker { return route.Proportional{} }, Splitter: s}
	}
	return &section{
		title:    "division of slots between instances",
		policies: []Policy{divide("near", limit.LocalFirstSplitter{}), divide("spread", limit.EvenSplitter{}), divide("whole", limit.SingleInstanceSplitter{})},
		conditions: []condition{
			{load: 0.5},
			{load: 0.8},
			{load: 0.5, waves: true},
			{load: 0.5, skew: 0.4},
			{load: 0.5, skew: 0.6},
			{load: 0.5, faults: []Fault{Noisy{}}},
			{load: 0.8, faults: []Fault{Noisy{}}},
			{load: 0.5, faults: []Fault{Restart{Count: 1}}},
			{load: 0.7, faults: []Fault{Restart{Count: 1}}},
			{load: 0.5, faults: []Fault{Restart{Count: 3}}},
			{load: 0.5, faults: []Fault{Restart{Count: 4}}},
			{load: 0.5, faults: []Fault{DomainOut{}}},
			{load: 0.65, faults: []Fault{DomainOut{}}},
			{load: 0.5, faults: []Fault{RowOut{}}},
			{load: 0.65, faults: []Fault{RowOut{}}},
		},
	}
}

func queueSection() *section {
	admit := func(name string, a Admission) Policy {
		return Policy{Name: name, Picker: func() route.Picker { return route.Proportional{} }, Splitter: limit.LocalFirstSplitter{}, Admit: a}
	}
	return &section{
		title:    "admission",
		policies: []Policy{admit("queue", AdmitQueue), admit("fifo", AdmitFIFO), admit("none", AdmitNow)},
		conditions: []condition{
			{load: 0.5},
			{load: 0.8},
			{load: 1.0},
			{load: 1.5},
			{load: 0.3, waves: true},
			{load: 0.5, waves: true},
			{load: 0.8, waves: true},
			{load: 0.5, waves: true, faults: []Fault{Noisy{}}},
			{load: 0.5, waves: true, faults: []Fault{DomainOut{}}},
		},
	}
}

// write runs all policies under all conditions and writes a table.
func (s *section) write(w io.Writer, d Deployment, o Options) error {
	_, err := fmt.Fprintf(w, "%s: %d servers x %d slots, %d instances\n%-26s %-14s %8s %8s %8s %7s %7s %7s %7s %7s %8s %5s  %s\n",
		d.Name, d.Servers, d.Slots, d.Count, "condition", "policy", "p50 ms", "p99 ms", "p99.9 ms",
		"rej %", "late %", "fail %", "calm %", "urg %", "rej ms", "over", "p99 and p99.9 relative to "+s.policies[0].Name)
	for i, rs := range s.runs(d, o) {
		for j, r := range rs {
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(w, "%-26s %-14s %8.2f %8.2f %8.2f %7.2f %7.2f %7.2f %7.2f %7.2f %8.2f %5d  %.2f %.2f\n",
				s.conditions[i], s.policies[j].Name, ms(r.Latency(50)), ms(r.Latency(99)), ms(r.Latency(99.9)),
				100*r.Part(Rejected), 100*r.Part(Late), 100*r.Part(Failed), 100*r.CalmRejected(), 100*r.UrgentRejected(),
				ms(r.RejectedAfter(50)), r.Over, over(r, rs[0], 99), over(r, rs[0], 99.9))
		}
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return err
}

// runs returns the reports by condition and policy.
func (s *section) runs(d Deployment, o Options) [][]*Report {
	out := make([][]*Report, len(s.conditions))
	slots := make(chan struct{}, max(1, o.Workers))
	var wg sync.WaitGroup
	for i, c := range s.conditions {
		out[i] = make([]*Report, len(s.policies))
		for j, p := range s.policies {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				out[i][j] = Run(Scenario{
					Deployment: d, Load: c.load, Waves: c.waves, Skew: c.skew, Faults: c.faults,
					Deadline: o.Deadline, Time: o.Time, Seed: o.Seed,
				}, p)
			})
		}
	}
	wg.Wait()
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// over returns a's latency quantile as a multiple of b's.
func over(a, b *Report, q float64) float64 {
	if b.Latency(q) == 0 {
		return 0
	}
	return float64(a.Latency(q)) / float64(b.Latency(q))
}
