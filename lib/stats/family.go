package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Other is the name under which a family sums what it has no room for.
const Other = "other"

// Range and precision of the histograms: 1 us to 2 min with two digits take about 20 KB each.
const (
	minLatency = int64(1)
	maxLatency = int64(2 * time.Minute / time.Microsecond)
	digits     = 2
)

// Summary is the exported form of one histogram. Quantiles are in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// family holds one histogram for each of a bounded set of names.
type family struct {
	limit int
	other *histogram
	mu    sync.RWMutex
	named map[string]*histogram
}

// histogram is a histogram that is safe for concurrent use.
type histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

func newFamily(limit int) *family {
	return &family{limit: limit, other: newHistogram(), named: make(map[string]*histogram)}
}

func newHistogram() *histogram {
	return &histogram{hdr: hdrhistogram.New(minLatency, maxLatency, digits)}
}

func (f *family) observe(name string, d time.Duration) { f.find(name).observe(d) }

func (f *family) find(name string) *histogram {
	f.mu.RLock()
	h, ok := f.named[name]
	f.mu.RUnlock()
	if ok {
		return h
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ok := f.named[name]; ok {
		return h
	}
	if len(f.named) >= f.limit {
		return f.other
	}
	h = newHistogram()
	f.named[name] = h
	return h
}

func (f *family) summaries() map[string]Summary {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make(map[string]Summary, len(f.named)+1)
	for n, h := range f.named {
		out[n] = h.summary()
	}
	if s := f.other.summary(); s.Count > 0 {
		out[Other] = s
	}
	return out
}

func (h *histogram) observe(d time.Duration) {
	v := min(max(d.Microseconds(), minLatency), maxLatency)
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the range, so that there is no error.
	_ = h.hdr.RecordValue(v)
}

func (h *histogram) summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.hdr.TotalCount(),
		P50:   h.hdr.ValueAtQuantile(50),
		P90:   h.hdr.ValueAtQuantile(90),
		P99:   h.hdr.ValueAtQuantile(99),
		P999:  h.hdr.ValueAtQuantile(99.9),
		Max:   h.hdr.Max(),
	}
}
