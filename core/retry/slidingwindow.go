package retry

import (
	"sync"
	"time"

	"goldcreststand.example/core/ident"
)

// windowBuckets is the number of buckets in a SlidingWindow. One bucket more is kept, to cover every span of the
// window's length.
const windowBuckets = 10

// SlidingWindow bounds the resends of one service within any span of a given length. Several instances keep a
// common bound without messages: each one counts its own calls, and has an equal part of the extra resends. It is
// safe for concurrent use.
type SlidingWindow struct {
	share ident.Share
	// bucketLength is the time that one bucket covers.
	bucketLength time.Duration

	mu sync.Mutex
	// extra is the number of resends that are allowed in addition to the share of the calls.
	extra   float64
	calls   [windowBuckets + 1]int
	resends [windowBuckets + 1]int
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
	w.calls[w.advance(at)]++
}

// Withdraw takes one resend and reports whether it is allowed.
func (w *SlidingWindow) Withdraw(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(at)
	calls, resends := w.sums(i)
	if float64(resends+1) > float64(calls)*float64(w.share)/float64(ident.FullShare)+w.extra {
		w.denied++
		return false
	}
	w.resends[i]++
	return true
}

// Usage returns what is counted at the time.
func (w *SlidingWindow) Usage(at time.Time) WindowUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls, resends := w.sums(w.advance(at))
	return WindowUsage{Calls: calls, Resends: resends, Extra: w.extra, Denied: w.denied}
}

// sums returns the calls and the resends of the window that ends in the bucket.
func (w *SlidingWindow) sums(i int) (calls, resends int) {
	for k := range w.calls {
		resends += w.resends[k]
		// The oldest bucket lies only partly in the window. Its calls are left out, so the bound is never too high.
		if k != (i+1)%len(w.calls) {
			calls += w.calls[k]
		}
	}
	return calls, resends
}

// advance clears the buckets that have left the window and returns the index of the current one.
func (w *SlidingWindow) advance(at time.Time) int {
	now := int64(at.Sub(w.start) / w.bucketLength)
	n := int64(len(w.calls))
	for k := max(w.current+1, now-n+1); k <= now; k++ {
		w.calls[k%n], w.resends[k%n] = 0, 0
	}
	w.current = max(w.current, now)
	return int(w.current % n)
}
