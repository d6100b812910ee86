package usage

import (
	"maps"
	"sync"

	"goldcreststand.example/core/ident"
)

// WindowCounts holds one instance's own counts of a window.
type WindowCounts struct {
	Report
	// Version grows with each change of the counts.
	Version uint64
}

// Counter counts the calls of this instance by window and tenant. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	windows map[Window]*WindowCounts
	latest  Window
	// version is the last version of any window, so that a window that was dropped and begins again has a new one.
	version uint64
}

// NewCounter returns a counter without counts.
func NewCounter() *Counter { return &Counter{windows: make(map[Window]*WindowCounts)} }

// Add counts a call of the tenant in the window.
func (c *Counter) Add(t ident.TenantName, w Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w <= c.latest-MaxWindows {
		// The clock was far ahead, and the counts are those of wrong windows.
		maps.DeleteFunc(c.windows, func(other Window, _ *WindowCounts) bool { return other > w+maxLead })
		c.latest = w
	}
	counts, ok := c.windows[w]
	if !ok {
		counts = &WindowCounts{Report: Report{Window: w, Counts: make(Counts)}}
		c.windows[w] = counts
		c.latest = max(c.latest, w)
		maps.DeleteFunc(c.windows, func(w Window, _ *WindowCounts) bool { return w <= c.latest-MaxWindows })
	}
	counts.Counts[t]++
	c.touch(counts)
}

// Revoke takes back a counted call that was not executed.
func (c *Counter) Revoke(t ident.TenantName, w Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok := c.windows[w]
	if !ok || counts.Counts[t] == 0 {
		return
	}
	counts.Counts[t]--
	c.touch(counts)
}

// touch records a change of the counts.
func (c *Counter) touch(counts *WindowCounts) {
	c.version++
	counts.Version = c.version
}

// After returns copies of the counts of the windows after the given one.
func (c *Counter) After(w Window) map[Window]WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[Window]WindowCounts)
	for n, counts := range c.windows {
		if n > w {
			out[n] = WindowCounts{Report: Report{Window: n, Counts: maps.Clone(counts.Counts)}, Version: counts.Version}
		}
	}
	return out
}
