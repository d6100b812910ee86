package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the largest latency that a histogram can record. Higher values are recorded as maxLatency.
const maxLatency = time.Minute

// Verdict is the outcome of a call as its caller sees it.
type Verdict int

// Verdicts of calls.
const (
	// VerdictComplete is a complete response to the call's own request.
	VerdictComplete Verdict = iota
	// VerdictFailed is a complete response in which the backend server reports an internal error.
	VerdictFailed
	// VerdictRejected is an error response that states that the call was not executed.
	VerdictRejected
	// VerdictUnknown is an error response that states that the call may have been executed.
	VerdictUnknown
	// VerdictLate is a call without a response within its deadline.
	VerdictLate
	// VerdictBroken is a call whose connection failed before the response was complete.
	VerdictBroken
	// VerdictWrong is a response to another request, or one with an unexpected status code.
	VerdictWrong
)

//go:generate ../../../bin/enumer -type=Verdict -trimprefix=Verdict -transform=lower -text -output=verdict_enumer.go

// ClassStats holds the results of one class of calls.
type ClassStats struct {
	Verdicts map[Verdict]int
	// Latency holds the latencies of complete responses in microseconds.
	Latency *hdrhistogram.Histogram
}

// Report holds the results of a run by class of calls. A class is the reads or the writes of a tenant.
type Report struct {
	Classes map[string]*ClassStats
	// NotMade counts the calls that were not made because maxInflight calls were already in flight.
	NotMade int
	// bySecond counts verdicts by the second of the run in which the calls started.
	bySecond map[int]map[Verdict]int
}

func newReport() *Report {
	return &Report{Classes: make(map[string]*ClassStats), bySecond: make(map[int]map[Verdict]int)}
}

// Count returns the number of calls with the verdict.
func (r *Report) Count(v Verdict) int {
	n := 0
	for _, c := range r.Classes {
		n += c.Verdicts[v]
	}
	return n
}

// String returns the report as a table with one row for each class.
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
	if r.NotMade > 0 {
		fmt.Fprintf(&b, "not made: %d calls above the limit of %d in flight\n", r.NotMade, maxInflight)
	}
	return b.String()
}

// Timeline returns a line for each second of the run in which a call started that did not get a complete
// response.
func (r *Report) Timeline() string {
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(r.bySecond)) {
		counts := r.bySecond[n]
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

func (r *Report) add(class string, v Verdict, startedAt, latency time.Duration) {
	second := int(startedAt / time.Second)
	if r.bySecond[second] == nil {
		r.bySecond[second] = make(map[Verdict]int)
	}
	r.bySecond[second][v]++
	c, ok := r.Classes[class]
	if !ok {
		c = &ClassStats{Verdicts: make(map[Verdict]int), Latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		r.Classes[class] = c
	}
	c.Verdicts[v]++
	if v == VerdictComplete {
		_ = c.Latency.RecordValue(min(latency, maxLatency).Microseconds())
	}
}
