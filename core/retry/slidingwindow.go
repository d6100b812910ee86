package retry

import (
	"sync"
	"time"

	"goldcreststand.example/core/ident"
)

// windowBuckets is the number of buckets in a window.
const windowBuckets = 20

// earlierWeight is the weight of the calls of the window before a span, in the calls by which resends in the span are bounded.
// The rest is that of the calls in the span. A larger weight allows more resends at once when servers begin to
// reject calls, and fewer while calls increase and after a start.
const earlierWeight = 0.25

// keptBuckets is the number of buckets that are kept: those of the window, of the window before it, and one more because
// a span of the window's length touches one bucket more than it is long.
const keptBuckets = 2*windowBuckets + 1

// SlidingWindow bounds the resends of one service within any span of a given length. Several instances keep a
// common bound without messages: each one counts its own calls, and has an equal part of the extra resends. It is
// safe for concurrent use.
//
// In any span, an instance sends at most the share of a weighted mean of its calls in that span and in the window before
// it. What all instances send is then at most the share of all calls in the span or in the window before it, whichever has
// more. A bound by the last window's calls alone does not add up: each instance has most calls at a moment of its own, and
// the sum of these maxima is larger than the maximum of the sum.
type SlidingWindow struct {
	share ident.Share
	// bucketLength is the time that one bucket covers.
	bucketLength time.Duration

	mu sync.Mutex
	// extra is the number of resends that are allowed in addition to the share of the calls.
	extra   float64
	calls   [keptBuckets]int
	resends [keptBuckets]int
	// current is the number of the current bucket, counted from start.
	current int64
	start   time.Time
	denied  int64
}

// WindowUsage is what a SlidingWindow counts.
type WindowUsage struct {
	// Calls and Resends are those of the last window.
	Calls, Resends int
	// Extra is the number of resends that are allowed in addition to the share of the calls.
	Extra float64
	// Denied is the number of resends that were not allowed, since the start.
	Denied int64
}

var _ Budget = (*SlidingWindow)(nil)

// NewSlidingWindow returns a budget that allows the share of the calls, plus extra resends, in any span of the
// length.
func NewSlidingWindow(share ident.Share, extra float64, length time.Duration, start time.Time) *SlidingWindow {
	return &SlidingWindow{share: share, extra: extra, bucketLength: length / windowBuckets, start: start}
}

// SetExtra sets the number of resends that are allowed in addition to the share of the calls.
func (w *SlidingWindow) SetExtra(n float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extra = n
}

// Deposit records a call.
func (w *SlidingWindow) Deposit(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(at)
	w.calls[w.current%keptBuckets]++
}

// Withdraw takes one resend and reports whether it is allowed.
func (w *SlidingWindow) Withdraw(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(at)
	if !w.allows() {
		w.denied++
		return false
	}
	w.resends[w.current%keptBuckets]++
	return true
}

// allows reports whether one more resend now keeps the bound of each span that ends now.
func (w *SlidingWindow) allows() bool {
	// When calls become fewer, those of the last window allow less than the mean.
	calls, resends := w.sums()
	if !w.within(resends, float64(calls)) {
		return false
	}
	// The calls of the bucket in which a span begins count as earlier ones, so that the bound is never too high.
	resends = 0
	earlier, during := 0, 0
	for age := range int64(windowBuckets) {
		earlier += count(&w.calls, w.current-age)
	}
	for age := range int64(windowBuckets + 1) {
		resends += count(&w.resends, w.current-age)
		if !w.within(resends, earlierWeight*float64(earlier)+(1-earlierWeight)*float64(during)) {
			return false
		}
		first := count(&w.calls, w.current-age)
		during += first
		earlier += count(&w.calls, w.current-age-windowBuckets) - first
	}
	return true
}

// within reports whether one more resend is allowed beside the resends and the calls.
func (w *SlidingWindow) within(resends int, calls float64) bool {
	return float64(resends+1) <= calls*float64(w.share)/float64(ident.FullShare)+w.extra
}

// Usage returns what is counted at the time.
func (w *SlidingWindow) Usage(at time.Time) WindowUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(at)
	calls, resends := w.sums()
	return WindowUsage{Calls: calls, Resends: resends, Extra: w.extra, Denied: w.denied}
}

// sums returns the calls and the resends of the last window. The oldest bucket lies only partly in it: its resends are
// counted and its calls are not, so that the bound is never too high.
func (w *SlidingWindow) sums() (calls, resends int) {
	for age := range int64(windowBuckets) {
		calls += count(&w.calls, w.current-age)
		resends += count(&w.resends, w.current-age)
	}
	return calls, resends + count(&w.resends, w.current-windowBuckets)
}

// count returns the count in the numbered bucket, which is 0 before the start.
func count(buckets *[keptBuckets]int, n int64) int {
	if n < 0 {
		return 0
	}
	return buckets[n%keptBuckets]
}

// advance clears the buckets that are no longer kept, up to the current one.
func (w *SlidingWindow) advance(now time.Time) {
	n := int64(now.Sub(w.start) / w.bucketLength)
	for k := max(w.current+1, n-keptBuckets+1); k <= n; k++ {
		w.calls[k%keptBuckets], w.resends[k%keptBuckets] = 0, 0
	}
	w.current = max(w.current, n)
}
