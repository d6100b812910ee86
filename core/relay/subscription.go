package relay

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststand.example/core/ring"
)

const (
	// rotatedSources is the number of sources that an instance polls in rotation: the watchers of its
	// failure domain and one more. The store can stop sending changes to some of the watchers without an
	// error.
	rotatedSources = watchersPerDomain + 1
	// pollWait is the maximum time for which a source without changes holds a request, and initialPollWait the
	// same until an instance that starts is up to date, when its first sources may be starting, too.
	pollWait        = 500 * time.Millisecond
	initialPollWait = 40 * time.Millisecond
	// replyMargin is the time after the poll wait in which the reply must arrive, and initialReplyMargin
	// the same until an instance that starts is up to date, when a source may still be powered off.
	replyMargin        = 300 * time.Millisecond
	initialReplyMargin = 40 * time.Millisecond
	// sourceBackoff is the time for which a source that did not reply is not polled.
	sourceBackoff = time.Second
	// staleAge is the age which an instance's copy exceeds only if its sources fail. From then on it polls them in quick
	// succession, those that are no more recent only if no other one replies. At catchUpAge the store is most likely
	// unavailable to all, and the polls become slow again.
	staleAge   = 700 * time.Millisecond
	catchUpAge = 3 * time.Second
	// minPollWait and minReplyMargin are the poll wait and the reply margin in that time.
	minPollWait    = 100 * time.Millisecond
	minReplyMargin = 200 * time.Millisecond
	// checkAge is the age from which on an instance that does not watch the store checks whether it replies. Sources that
	// watch check this each checkInterval, and instances that poll them stay below it.
	checkAge = time.Second
	// maxStaleness is the time since the instance was up to date after which it watches the store itself,
	// when no source replies. Changes must be in force within 2 s, and reading the store may take several
	// hundred milliseconds.
	maxStaleness = 1200 * time.Millisecond
	// maxSourceStaleness is the same while sources reply but are out of date, and the store replies to this instance.
	maxSourceStaleness = 1100 * time.Millisecond
	// fallbackSpread is the time over which instances begin to watch the store after maxSourceStaleness. The first ones
	// pass the changes on before most others begin.
	fallbackSpread = 400 * time.Millisecond
	// returnTime is the time for which the watchers may bring changes after the store replies again.
	returnTime = 1200 * time.Millisecond
	// offerTime is the time for which an instance that offered its copy is polled.
	offerTime = 5 * time.Second
	// maxUsableAge is the age up to which the copy of a source counts at the start.
	maxUsableAge = 4 * time.Second
	// restartTimeout is the time after which a restarted instance, for which callers wait, watches the
	// store when no source was up to date. joinTimeout is the same for a new instance, which no caller
	// knows; in that time the list of members grows when the whole fleet starts.
	restartTimeout = 250 * time.Millisecond
	joinTimeout    = time.Second
	// minFallbackTime is the minimum time for which an instance watches the store because its sources
	// fail. Reading everything again costs as many calls as watching for some ten seconds.
	minFallbackTime = 5 * time.Second
	// MinBackoff is the minimum time between two calls of a watcher while the store does not reply.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff is the maximum. Changes must take effect within 2 s.
	MaxBackoff = 800 * time.Millisecond
	// fleetCheckInterval is the mean time between the checks of all instances together that do not watch the store, after the
	// first one of each, while it does not reply to them either. maxCheckBackoff is the maximum time between two checks of one of
	// them. When the store replies again, one of them finds it soon and passes changes on.
	fleetCheckInterval = 50 * time.Millisecond
	maxCheckBackoff    = 10 * time.Second
)

// Copy describes how up to date an instance's copy of the store is.
type Copy struct {
	// Age is the time since the copy was last up to date.
	Age time.Duration
	// Watched is the same by the instance's own watches alone.
	Watched time.Duration
}

// Subscription decides how one instance learns of changes in the store: by watching it, or by polling
// instances that do. It is not safe for concurrent use.
type Subscription struct {
	self      ring.Member
	startedAt time.Time
	// watcher says that this instance is one of those that watch the store.
	watcher bool
	// turn is the position among the watchers or, for other instances, among all members, since all of these
	// watch the store when no source replies.
	turn Turn
	// fallbackDelay is this instance's part of fallbackSpread.
	fallbackDelay time.Duration
	// sources are the other watchers, starting with those of the instance's own failure domain.
	sources []netip.AddrPort
	// backoffUntil holds the time until which a source is not polled, and staleUntil that until which it is polled only if
	// all are out of date.
	backoffUntil, staleUntil map[netip.AddrPort]time.Time
	// offers holds other instances that watch the store, with the time until which they are polled.
	offers   map[netip.AddrPort]time.Time
	rotation int
	// membersKnown says that this instance has read the list of members, and initiallyListed that the
	// first one contained it.
	membersKnown, initiallyListed bool
	// contact is what is known of whether the store replies. covered says that the instance's own watches cover the whole
	// store, and watchedAt is the latest time at which they kept it up to date.
	contact   contact
	covered   bool
	watchedAt time.Time
	// watchingSince is the time since when this instance has watched the store, or zero.
	watchingSince time.Time
	// upToDateAt is the latest time at which a source was up to date with the store, sourceWatchedAt the same by the
	// source's own watches, and lastReply the time of the last reply of any source.
	upToDateAt, sourceWatchedAt, lastReply time.Time
	// fallbackSince is the time since when this instance has watched the store because its sources fail,
	// or zero.
	fallbackSince time.Time
	// staleSources says that it does so because they are out of date although they reply. Once they fall silent, it is no
	// longer set until the fallback ends.
	staleSources bool
}

// NewSubscription returns the subscription of an instance that starts and knows no other instance.
func NewSubscription(self ring.Member, now time.Time) *Subscription {
	return &Subscription{
		self: self, startedAt: now, backoffUntil: make(map[netip.AddrPort]time.Time), staleUntil: make(map[netip.AddrPort]time.Time),
		offers: make(map[netip.AddrPort]time.Time),
	}
}

// SetMembers sets the list of members. An instance that is not listed yet is no watcher.
func (s *Subscription) SetMembers(members []ring.Member, now time.Time) {
	wasWatcher := s.watcher
	s.watcher = false
	s.turn = Turn{Index: slices.IndexFunc(members, s.isSelf), Of: len(members)}
	var local, remote []netip.AddrPort
	watchers := Watchers(members)
	for i, m := range watchers {
		switch {
		case s.isSelf(m):
			s.watcher = true
			s.turn = Turn{Index: i, Of: len(watchers)}
		case m.Domain == s.self.Domain:
			local = append(local, m.Peer)
		default:
			remote = append(remote, m.Peer)
		}
	}
	// Each instance has its own order of sources, to spread the polls over all watchers.
	for _, list := range [][]netip.AddrPort{local, remote} {
		slices.SortFunc(list, func(a, b netip.AddrPort) int { return cmp.Compare(s.sourceHash(a), s.sourceHash(b)) })
	}
	if !s.membersKnown {
		s.membersKnown = true
		s.initiallyListed = slices.ContainsFunc(members, s.isSelf)
	}
	if wasWatcher && !s.watcher {
		s.lastReply = now
	}
	s.sources = slices.Concat(local, remote)
	s.fallbackDelay = fallbackDelay(s.self, members)
}

func (s *Subscription) isSelf(m ring.Member) bool { return m.ID == s.self.ID }

// Turn returns the position of this instance among those that watch the store.
func (s *Subscription) Turn() Turn { return s.turn }

// sourceHash is the sort key of a source. It differs between instances.
func (s *Subscription) sourceHash(a netip.AddrPort) uint64 {
	return xxhash.Sum64String(string(s.self.ID) + "\x00" + a.String())
}

// OtherWatchers returns the other watchers if this instance is one, too.
func (s *Subscription) OtherWatchers() []netip.AddrPort {
	if !s.watcher {
		return nil
	}
	return s.sources
}

// NextSource returns the instance to poll next, and false when all sources are unknown or in backoff.
func (s *Subscription) NextSource(now time.Time) (netip.AddrPort, bool) {
	usable := s.usableSources(now, s.staleUntil)
	if len(usable) == 0 {
		usable = s.usableSources(now, nil)
	}
	if len(usable) == 0 {
		return netip.AddrPort{}, false
	}
	s.rotation++
	return usable[s.rotation%len(usable)], true
}

// usableSources returns the sources to poll in rotation: none in backoff, and none that is excluded for now.
func (s *Subscription) usableSources(now time.Time, excludedUntil map[netip.AddrPort]time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	usable := func(a netip.AddrPort) bool { return !now.Before(s.backoffUntil[a]) && !now.Before(excludedUntil[a]) }
	for a, until := range s.offers {
		if now.Before(until) && usable(a) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	for _, a := range s.sources {
		if !s.watches() && len(out) >= rotatedSources {
			break
		}
		if usable(a) && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// HandleReply notes a source's reply, and how up to date the source's copy was.
func (s *Subscription) HandleReply(source netip.AddrPort, c Copy, now time.Time) {
	delete(s.backoffUntil, source)
	delete(s.staleUntil, source)
	s.lastReply = now
	if c.Age >= staleAge {
		s.staleUntil[source] = now.Add(sourceBackoff)
	}
	if at := now.Add(-c.Age); c.Age < maxUsableAge && at.After(s.upToDateAt) {
		s.upToDateAt = at
	}
	if at := now.Add(-c.Watched); at.After(s.sourceWatchedAt) {
		s.sourceWatchedAt = at
	}
}

// HandleOffer notes that an instance watches the store with success. It is polled while this instance is out of date.
func (s *Subscription) HandleOffer(from netip.AddrPort, watched time.Duration, now time.Time) {
	if watched < staleAge && now.Sub(s.UpToDate()) >= staleAge {
		s.offers[from] = now.Add(offerTime)
	}
	maps.DeleteFunc(s.offers, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
}

// PollTimes returns the time for which the next source may hold the request, and the time after which it
// has failed.
func (s *Subscription) PollTimes(now time.Time) (wait, timeout time.Duration) {
	switch age := now.Sub(s.UpToDate()); {
	case s.UpToDate().IsZero():
		return initialPollWait, initialPollWait + initialReplyMargin
	case age >= catchUpAge:
		return pollWait, pollWait + replyMargin
	case age >= staleAge-minPollWait:
		return minPollWait, minPollWait + minReplyMargin
	default:
		wait = min(staleAge-age, pollWait)
		return wait, wait + replyMargin
	}
}

// HandleFailure notes that a source did not reply.
func (s *Subscription) HandleFailure(source netip.AddrPort, now time.Time) {
	s.backoffUntil[source] = now.Add(sourceBackoff)
}

// UpToDate returns the latest time at which this instance was up to date with the store, or zero.
func (s *Subscription) UpToDate() time.Time { return latest(s.watchedAt, s.upToDateAt) }

// Watched returns the latest time at which this instance was up to date by its own watches, or zero.
func (s *Subscription) Watched() time.Time { return s.watchedAt }

// WatchesStore reports whether the instance watches the store itself.
func (s *Subscription) WatchesStore(now time.Time) bool {
	s.decideFallback(now)
	switch {
	case !s.watches() || s.contact.lost():
		s.watchingSince = time.Time{}
	case s.watchingSince.IsZero():
		s.watchingSince = now
	}
	return !s.watchingSince.IsZero()
}

// watches reports whether the instance watches the store while that replies.
func (s *Subscription) watches() bool { return s.watcher || !s.fallbackSince.IsZero() }

// decideFallback decides whether the instance watches the store because its sources fail. It goes on until a source watches the
// store with success: that the sources are up to date may be due to this instance, which they poll.
func (s *Subscription) decideFallback(now time.Time) {
	replying := now.Sub(s.lastReply) < maxStaleness
	switch {
	case s.watcher:
		s.fallbackSince = time.Time{}
	case s.fallbackSince.IsZero():
		if s.needsFallback(now) {
			s.fallbackSince, s.staleSources = now, replying
		}
	default:
		s.staleSources = s.staleSources && replying
		done := s.staleSources || now.Sub(s.fallbackSince) >= minFallbackTime
		if done && now.Sub(s.sourceWatchedAt) < checkAge {
			s.fallbackSince = time.Time{}
		}
	}
}

// needsFallback reports whether the sources no longer keep this instance up to date.
func (s *Subscription) needsFallback(now time.Time) bool {
	switch {
	case s.UpToDate().IsZero() && s.initiallyListed && len(s.sources) > 0:
		return now.Sub(s.startedAt) >= restartTimeout
	case s.UpToDate().IsZero():
		return now.Sub(s.startedAt) >= joinTimeout
	case now.Sub(s.lastReply) < maxStaleness:
		return s.canReplaceSources(now)
	default:
		return now.Sub(s.UpToDate()) >= maxStaleness
	}
}

// canReplaceSources reports whether the store replies to this instance while the sources are out of date. A source to which the
// store replies as slowly would be up to date by then.
func (s *Subscription) canReplaceSources(now time.Time) bool {
	c := &s.contact
	if c.failed > 0 || !c.confirmedAt.After(s.UpToDate()) {
		return false
	}
	due := latest(s.UpToDate().Add(maxSourceStaleness+2*c.latency), c.regainedAt.Add(returnTime))
	return !now.Before(due.Add(s.fallbackDelay))
}

// fallbackDelay returns the time for which the instance waits for others to begin to watch. It grows with the logarithm of a rank,
// so that few instances begin at first, also when the store replies to few.
func fallbackDelay(self ring.Member, members []ring.Member) time.Duration {
	rank, own := 0, xxhash.Sum64String(string(self.ID))
	for _, m := range members {
		if xxhash.Sum64String(string(m.ID)) < own {
			rank++
		}
	}
	part := math.Log1p(float64(rank)) / math.Log1p(float64(max(1, len(members))))
	return time.Duration(min(1, part) * float64(fallbackSpread))
}
