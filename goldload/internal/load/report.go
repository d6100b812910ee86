package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the largest latency that a histogram tells apart.
const maxLatency = time.Minute

// Verdict says how a call ended for its caller.
type Verdict int

// Verdicts.
const (
	// VerdictComplete is a complete response to the call's own request.
	VerdictComplete Verdict = iota
	// VerdictFailed is a complete response in which the backend server reports a failure of its own.
	VerdictFailed
	// VerdictRejected is a rejection that says the call was not executed.
	VerdictRejected
	// VerdictUnknown is a response that leaves open whether the call was executed.
	VerdictUnknown
	// VerdictLate is a deadline that passed without a response.
	VerdictLate
	// VerdictBroken is a connection that broke.
	VerdictBroken
	// VerdictWrong is a response that belongs to another request or has another status.
	VerdictWrong
)

//go:generate ../../../bin/enumer -type=Verdict -trimprefix=Verdict -transform=lower -text -output=verdict_enumer.go

// Class sums the calls of one kind.
type Class struct {
	Verdicts map[Verdict]int
	// Latency holds the latencies of complete responses in microseconds.
	Latency *hdrhistogram.Histogram
}

// Report sums the calls of a run by class: reads or writes of a tenant.
type Report struct {
	Classes map[string]*Class
	// Missed counts calls that were not made because too many were in flight already.
	Missed int
	// seconds counts the verdicts by the second since the start at which the calls were made.
	seconds map[int]map[Verdict]int
}

func newReport() *Report {
	return &Report{Classes: make(map[string]*Class), seconds: make(map[int]map[Verdict]int)}
}

// Count returns the number of calls with the verdict.
func (r *Report) Count(v Verdict) int {
	n := 0
	for _, c := range r.Classes {
		n += c.Verdicts[v]
	}
	return n
}

// String returns the report as a table with one line for each class.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s", "class")
	for _, v := range VerdictValues() {
		fmt.Fprintf(&b, " %8s", v)
	}
	fmt.Fprintf(&b, " %9s %9s %9s\n", "p50", "p99", "p99.9")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		fmt.Fprintf(&b, "%-20s", name)
		for _, v := range VerdictValues() {
			fmt.Fprintf(&b, " %8d", c.Verdicts[v])
		}
		for _, q := range []float64{50, 99, 99.9} {
			fmt.Fprintf(&b, " %9s", time.Duration(c.Latency.ValueAtQuantile(q))*time.Microsecond)
		}
		b.WriteByte('\n')
	}
	if r.Missed > 0 {
		fmt.Fprintf(&b, "not made: %d calls above the limit of %d in flight\n", r.Missed, maxInflight)
	}
	return b.String()
}

// Timeline returns a line for each second in which a call did not get a complete response.
func (r *Report) Timeline() string {
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(r.seconds)) {
		counts := r.seconds[n]
		if len(counts) == 1 && counts[VerdictComplete] > 0 {
			continue
		}
		fmt.Fprintf(&b, "second %d:", n)
		for _, v := range VerdictValues() {
			if counts[v] > 0 {
				fmt.Fprintf(&b, " %d %s", counts[v], v)
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func (r *Report) add(class string, v Verdict, at, d time.Duration) {
	second := int(at / time.Second)
	if r.seconds[second] == nil {
		r.seconds[second] = make(map[Verdict]int)
	}
	r.seconds[second][v]++
	c, ok := r.Classes[class]
	if !ok {
		c = &Class{Verdicts: make(map[Verdict]int), Latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		r.Classes[class] = c
	}
	c.Verdicts[v]++
	if v == VerdictComplete {
		_ = c.Latency.RecordValue(min(d, maxLatency).Microseconds())
	}
}
