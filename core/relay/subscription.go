package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststand.example/core/ring"
)

const (
	// turnSources is the number of sources that an instance asks in rotation: the watchers of its failure domain and
	// another one. A store that is silent towards some instances leaves their watches waiting without an error.
	turnSources = watchersPerDomain + 1
	// pollWait is the time for which a source without changes holds a request, and firstWait the same until an
	// instance that starts is up to date: its first sources may be starting, too.
	pollWait  = 500 * time.Millisecond
	firstWait = 40 * time.Millisecond
	// replySlack is the time beyond that in which the reply comes, and firstSlack the same at the start, when a source
	// may still be without power.
	replySlack = 300 * time.Millisecond
	firstSlack = 40 * time.Millisecond
	// restTime is the time for which a source that did not reply is left alone.
	restTime = time.Second
	// silentTime is the age of what an instance knows at which it watches the store itself. Changes must be in force
	// within 2 s, and reading the store may take several hundred milliseconds.
	silentTime = 1200 * time.Millisecond
	// awayTime is the same while sources reply but are out of date themselves. Since watchers ask each other, the
	// store is then unavailable to all of them, and most likely to all instances.
	awayTime = 4 * time.Second
	// startTime is the time after which an instance that restarts, and that callers wait for, watches the store when no
	// source was up to date. joinTime is the same for a new instance, which no caller knows; in that time the list
	// of members grows when the whole fleet starts.
	startTime = 250 * time.Millisecond
	joinTime  = time.Second
	// fallbackTime is the least time for which an instance watches the store for want of sources. Reading everything
	// again costs as many calls as watching for some ten seconds.
	fallbackTime = 5 * time.Second
)

// Subscription is how one instance follows the store: by watching it, or by asking instances that do. It is not safe
// for concurrent use.
type Subscription struct {
	self  ring.Member
	start time.Time
	// watcher says that this instance is one of those that watch the store, and small that all are.
	watcher, small bool
	// sources are the other watchers, those of the own failure domain first.
	sources []netip.AddrPort
	// resting holds the time until which a source is left alone.
	resting map[netip.AddrPort]time.Time
	turn    int
	// read says that this instance has read the list of instances, and listed that it was in it at first.
	read, listed bool
	// current is the latest time at which a source was up to date with the store, and replied that of the last reply
	// of any source.
	current, replied time.Time
	// fallback is the time since when this instance watches the store for want of sources, or zero.
	fallback time.Time
}

// NewSubscription returns the subscription of an instance that starts and knows no other one.
func NewSubscription(self ring.Member, now time.Time) *Subscription {
	return &Subscription{self: self, start: now, resting: make(map[netip.AddrPort]time.Time)}
}

// SetMembers takes the list of instances. An instance that is not listed yet is no watcher.
func (s *Subscription) SetMembers(members []ring.Member, now time.Time) {
	watched := s.watcher
	s.watcher, s.small = false, len(members) <= smallFleet
	var near, far []netip.AddrPort
	for _, m := range Watchers(members) {
		switch {
		case m.ID == s.self.ID:
			s.watcher = true
		case m.Domain == s.self.Domain:
			near = append(near, m.Peer)
		default:
			far = append(far, m.Peer)
		}
	}
	// Each instance has its own first source, so that all watchers get questions.
	for _, list := range [][]netip.AddrPort{near, far} {
		slices.SortFunc(list, func(a, b netip.AddrPort) int { return cmp.Compare(s.distance(a), s.distance(b)) })
	}
	if !s.read {
		s.read = true
		s.listed = slices.ContainsFunc(members, func(m ring.Member) bool { return m.ID == s.self.ID })
	}
	if watched && !s.watcher {
		s.current, s.replied = now, now
	}
	s.sources = slices.Concat(near, far)
}

// distance orders sources differently at each instance.
func (s *Subscription) distance(a netip.AddrPort) uint64 {
	return xxhash.Sum64String(string(s.self.ID) + "\x00" + a.String())
}

// Source returns the instance to ask next, if there is one that is not left alone.
func (s *Subscription) Source(now time.Time) (netip.AddrPort, bool) {
	var usable []netip.AddrPort
	for _, a := range s.sources {
		if !now.Before(s.resting[a]) {
			usable = append(usable, a)
		}
		if !s.watcher && len(usable) == turnSources {
			break
		}
	}
	if len(usable) == 0 {
		return netip.AddrPort{}, false
	}
	s.turn++
	return usable[s.turn%len(usable)], true
}

// Replied notes a source's reply, and how long before now the source was up to date.
func (s *Subscription) Replied(source netip.AddrPort, age time.Duration, now time.Time) {
	delete(s.resting, source)
	s.replied = now
	if at := now.Add(-age); age < awayTime && at.After(s.current) {
		s.current = at
	}
}

// Wait returns the time for which the next source may wait for news, and the time after which it has failed.
func (s *Subscription) Wait() (wait, timeout time.Duration) {
	if s.current.IsZero() {
		return firstWait, firstWait + firstSlack
	}
	return pollWait, pollWait + replySlack
}

// Failed notes a source that did not reply.
func (s *Subscription) Failed(source netip.AddrPort, now time.Time) {
	s.resting[source] = now.Add(restTime)
}

// UpToDate returns the latest time at which a source was up to date with the store, zero when none was.
func (s *Subscription) UpToDate() time.Time { return s.current }

// Asks reports whether the instance asks others also while the store replies to it. A watcher does, because it does not
// notice a store that leaves its watches waiting, and others depend on it.
func (s *Subscription) Asks() bool { return !s.watcher || !s.small }

// Watches reports whether the instance watches the store itself.
func (s *Subscription) Watches(now time.Time) bool {
	if s.watcher {
		s.fallback = time.Time{}
		return true
	}
	switch {
	case s.small && s.read && now.Sub(s.start) >= joinTime:
		// The others do not ask each other, so that all sources may be out of date.
		return true
	case s.lacks(now):
		if s.fallback.IsZero() {
			s.fallback = now
		}
	case now.Sub(s.fallback) >= fallbackTime:
		s.fallback = time.Time{}
	}
	return !s.fallback.IsZero()
}

// lacks reports whether the sources fail this instance.
func (s *Subscription) lacks(now time.Time) bool {
	switch {
	case s.current.IsZero() && s.listed && len(s.sources) > 0:
		return now.Sub(s.start) >= startTime
	case s.current.IsZero():
		return now.Sub(s.start) >= joinTime
	case now.Sub(s.replied) < silentTime:
		return now.Sub(s.current) >= awayTime
	default:
		return now.Sub(s.current) >= silentTime
	}
}
