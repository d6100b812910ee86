package spread

import (
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// reportAge is the age of a load report by which the room that it guarantees falls by one call. It is the time that a
	// status check may take.
	reportAge = 20 * time.Millisecond
	// arrivalTime is the time in which a call certainly reaches its server after it was counted. Calls and checks use
	// different connections, so that a check may overtake a call.
	arrivalTime = 20 * time.Millisecond
	// recentSends is the number of calls to a server whose times are kept. It exceeds what a server of a few slots gets from
	// one instance within arrivalTime.
	recentSends = 32
)

// Evidence is what is known of a server's load from one status check.
type Evidence struct {
	Load LoadReport
	// Known reports that the server reported its load.
	Known bool
	// At is the time of the reply.
	At time.Time
	// SentBefore is ServerState.SentBefore when the check was sent. Later calls of this instance may be missing in the
	// report.
	SentBefore int64
}

// Room reports whether the evidence guarantees that the server can take one more call, when it never answers a call that
// it has no room for. Such a call is lost if it may not be repeated, so that an unsafe one needs one more free place. An
// idle server has room for any call. Without a load report nothing is known against the server.
func (e Evidence) Room(sent int64, unsafe bool, now time.Time) bool {
	if !e.Known {
		return true
	}
	limit := e.Load.fullSpeedCalls() - ident.Slots(max(0, now.Sub(e.At))/reportAge)
	if unsafe {
		limit--
	}
	return e.Load.Running+e.Load.Waiting+ident.Slots(sent-e.SentBefore) < max(1, limit)
}

// Sent returns the number of calls that this instance has sent to the server.
func (s *ServerState) Sent() int64 { return s.sent.Load() }

// SentBefore returns the number of calls that this instance has sent to the server and that have certainly arrived there.
func (s *ServerState) SentBefore(now time.Time) int64 {
	n := s.sent.Load()
	recent := int64(0)
	for i := range s.sendTimes {
		if t := s.sendTimes[i].Load(); t != 0 && t > s.sinceStart(now)-int64(arrivalTime) {
			recent++
		}
	}
	return n - recent
}

// RecordSend counts a call that is sent to the server.
func (s *ServerState) RecordSend(now time.Time) {
	for !s.recordSendAfter(s.sent.Load(), now) {
	}
}

// RecordSendIfRoom counts a call if there is room for it, and reports whether there is. Of two calls that relied on the
// same free place one gets it.
func (s *ServerState) RecordSendIfRoom(e Evidence, unsafe bool, now time.Time) bool {
	for {
		n := s.sent.Load()
		if !e.Room(n, unsafe, now) {
			return false
		}
		if s.recordSendAfter(n, now) {
			return true
		}
	}
}

// recordSendAfter counts a call after n others, and reports whether no other call was counted meanwhile. The time is stored
// first: a call that is counted without its time would seem to have arrived.
func (s *ServerState) recordSendAfter(n int64, now time.Time) bool {
	s.sendTimes[(n+1)%recentSends].Store(s.sinceStart(now))
	return s.sent.CompareAndSwap(n, n+1)
}
