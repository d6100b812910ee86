package relay

import "time"

const (
	// confirmInterval is the time within which some watcher's watch of each kind ends, with or without
	// changes. A watch that the store never answers looks like one without changes, and changes must be in
	// force 2 s after they are made.
	confirmInterval = time.Second
	// maxWatch limits the time of a watch; the store allows 30 s.
	maxWatch = 25 * time.Second
)

// Turn is an instance's position among those that watch the store. Their watches end in turn, so that one that
// hangs is found soon while each instance makes few calls. The index of an instance that is not listed is negative.
type Turn struct {
	Index, Of int
}

// Waits returns the time of the first watch after a change, and that of the watches that follow it. The watches
// of one instance, of which kind is one of the given number, are spread over the whole time.
func (t Turn) Waits(kind, kinds int) (first, next time.Duration) {
	n := max(1, t.Of)
	slot := (max(0, t.Index) + kind*n/max(1, kinds)) % n
	return min(time.Duration(slot+1)*confirmInterval, maxWatch), min(time.Duration(n)*confirmInterval, maxWatch)
}
