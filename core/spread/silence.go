package spread

import (
	"sync"
	"time"
)

const (
	// fullBackoff is the backoff after the first check without a reply of a server that is full: some of its calls end
	// within tens of milliseconds.
	fullBackoff = 50 * time.Millisecond
	// saturatedMemory is the time for which a report of saturation explains a server's silence.
	saturatedMemory = time.Second
	// fullSilence is the longest silence of a server that is full. One that is suspended or cut off mostly stays silent
	// for longer.
	fullSilence = time.Second
	// silenceSpan is the time within which two servers must have been seen to fall silent, and silenceMemory the time for
	// which the service is then known for it.
	silenceSpan   = time.Minute
	silenceMemory = 10 * time.Minute
)

// Silence holds whether the servers of a service fall silent when they are full, as this instance has seen. It is kept
// across snapshots and is safe for concurrent use. nil has seen nothing.
type Silence struct {
	mu sync.Mutex
	// last is the server that was seen last, at the time lastAt.
	last   *ServerState
	lastAt time.Time
	until  time.Time
}

// Record records that the server was silent while it was saturated but not dead: it replied to a check again, or replied to
// checks while a call got no response. One server that does so may be slow or faulty; two show how the service behaves.
func (s *Silence) Record(st *ServerState, now time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && s.last != st && now.Sub(s.lastAt) <= silenceSpan || now.Before(s.until) {
		s.until = now.Add(silenceMemory)
	}
	s.last, s.lastAt = st, now
}

// Seen reports whether servers of the service were seen to fall silent when they are full.
func (s *Silence) Seen(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until)
}

// RecordSilentCheck records a status check without a reply on an open connection. The server counts as full, and gets a
// shorter backoff, if it has just reported that it is saturated.
func (s *ServerState) RecordSilentCheck(now time.Time) (full bool) {
	base := baseBackoff
	if full = s.sinceStart(now) < s.saturatedUntil.Load(); full {
		base = fullBackoff
		s.silentSince.CompareAndSwap(0, s.sinceStart(now))
	}
	s.backOffAfterMiss(now, base)
	return full
}

// SilentCall reports whether saturation explains a call without a response: the server has just reported that it is
// saturated, and not that its machine is slow.
func (s *ServerState) SilentCall(now time.Time) bool {
	return s.sinceStart(now) < s.saturatedUntil.Load() && !s.RecentlySlow(now)
}

// Full reports whether the server is silent because it is full, as far as is known.
func (s *ServerState) Full(now time.Time) bool {
	since := s.silentSince.Load()
	return since != 0 && s.sinceStart(now)-since <= int64(fullSilence)
}

// recordLoad records whether the server is saturated, and reports whether it has just replied for the first time after it
// fell silent because it was full.
func (s *ServerState) recordLoad(now time.Time, r LoadReport) (wasFull bool) {
	until := int64(0)
	if r.Saturated() {
		until = s.sinceStart(now) + int64(saturatedMemory)
	}
	s.saturatedUntil.Store(until)
	wasFull = s.Full(now)
	s.silentSince.Store(0)
	return wasFull
}
