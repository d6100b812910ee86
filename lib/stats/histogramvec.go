package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Other is the name of the shared histogram for all names beyond the limit.
const Other = "other"

// Range and precision of the histograms. With 1 us to 2 min and two significant digits, a histogram takes about 20 KB.
const (
	minLatencyMicros  = int64(1)
	maxLatencyMicros  = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Summary is the JSON form of one latency histogram. Quantiles are in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// histogramVec holds one histogram per name, for a limited number of names.
type histogramVec struct {
	limit  int
	other  *histogram
	mu     sync.RWMutex
	byName map[string]*histogram
}

// histogram is a histogram that is safe for concurrent use.
type histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

func newHistogramVec(limit int) *histogramVec {
	return &histogramVec{limit: limit, other: newHistogram(), byName: make(map[string]*histogram)}
}

func newHistogram() *histogram {
	return &histogram{hdr: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

func (v *histogramVec) observe(name string, d time.Duration) { v.getOrCreate(name).observe(d) }

func (v *histogramVec) getOrCreate(name string) *histogram {
	v.mu.RLock()
	h, ok := v.byName[name]
	v.mu.RUnlock()
	if ok {
		return h
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if h, ok := v.byName[name]; ok {
		return h
	}
	if len(v.byName) >= v.limit {
		return v.other
	}
	h = newHistogram()
	v.byName[name] = h
	return h
}

func (v *histogramVec) summaries() map[string]Summary {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make(map[string]Summary, len(v.byName)+1)
	for n, h := range v.byName {
		out[n] = h.summary()
	}
	if s := v.other.summary(); s.Count > 0 {
		out[Other] = s
	}
	return out
}

func (h *histogram) observe(d time.Duration) {
	v := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue only fails for values outside the range.
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
