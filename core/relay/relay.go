// Package relay decides which instances watch the store, and from which of those the others hear its news. Every
// call to the store has a price, and its rates grow more slowly than the fleet.
package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
)

const (
	// smallFleet is the number of instances up to which all watch the store. What they would save in calls, they
	// would spend on questions to each other and bytes between domains.
	smallFleet = 32
	// watchersPerDomain is the number of instances of each failure domain that watch the store, so that one may
	// fail without bytes between domains.
	watchersPerDomain = 2
	// turnSources is the number of sources that an instance asks by turns: those of its failure domain and another
	// one. A store that is silent towards some instances leaves their watches waiting, and they do not know it.
	turnSources = watchersPerDomain + 1
	// newsWait is the time for which a source that has no news waits for some, and firstWait the same while an
	// instance has heard nothing since its start: its first sources may be starting, too.
	newsWait  = 500 * time.Millisecond
	firstWait = 40 * time.Millisecond
	// replySlack is the time beyond that in which the reply comes, and firstSlack the same at the start, when a source
	// may still be without power.
	replySlack = 300 * time.Millisecond
	firstSlack = 40 * time.Millisecond
	// restTime is the time for which a source that did not reply is left alone.
	restTime = time.Second
	// silentTime is the time without the store's word after which an instance watches the store itself. News must
	// be in force within 2 s, and reading the store may take several hundred milliseconds.
	silentTime = 1200 * time.Millisecond
	// awayTime is the same while sources reply, but are without the store's word themselves. Since watchers ask each
	// other, the store is then away for all of them, and most likely for all instances.
	awayTime = 4 * time.Second
	// startTime is the same for an instance that has heard nothing since its start, while callers wait for it, and
	// joinTime for one that was not listed before, which no caller knows. The whole fleet may start, and its list
	// grow, in that time.
	startTime = 250 * time.Millisecond
	joinTime  = time.Second
	// soloTime is the least time for which an instance watches the store for want of sources. Reading everything
	// again costs as many calls as watching it for some ten seconds.
	soloTime = 5 * time.Second
)

// Watchers returns the instances that watch the store: in a small fleet all, else in each failure domain those with the
// fastest links, which pass the news on.
func Watchers(members []ring.Member) []ring.Member {
	if len(members) <= smallFleet {
		return members
	}
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b ring.Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Link, a.Link), cmp.Compare(a.ID, b.ID))
	})
	count := make(map[ident.DomainName]int)
	return slices.DeleteFunc(order, func(m ring.Member) bool {
		count[m.Domain]++
		return count[m.Domain] > watchersPerDomain
	})
}

// Course is how one instance hears of the store's news. It is not safe for concurrent use.
type Course struct {
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
	// heard is the newest time at which the store's word was new at a source, and replied that of the last
	// reply of any source.
	heard, replied time.Time
	// solo is the time since when this instance watches the store for want of sources, or zero.
	solo time.Time
}

// NewCourse returns the course of an instance that starts and knows no other one.
func NewCourse(self ring.Member, now time.Time) *Course {
	return &Course{self: self, start: now, resting: make(map[netip.AddrPort]time.Time)}
}

// SetMembers takes the list of instances. An instance that is not listed yet is no watcher.
func (c *Course) SetMembers(members []ring.Member, now time.Time) {
	watched := c.watcher
	c.watcher, c.small = false, len(members) <= smallFleet
	var near, far []netip.AddrPort
	for _, m := range Watchers(members) {
		switch {
		case m.ID == c.self.ID:
			c.watcher = true
		case m.Domain == c.self.Domain:
			near = append(near, m.Peer)
		default:
			far = append(far, m.Peer)
		}
	}
	// Each instance has its own first source, so that all watchers get questions.
	for _, list := range [][]netip.AddrPort{near, far} {
		slices.SortFunc(list, func(a, b netip.AddrPort) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	}
	if !c.read {
		c.read = true
		c.listed = slices.ContainsFunc(members, func(m ring.Member) bool { return m.ID == c.self.ID })
	}
	if watched && !c.watcher {
		c.heard, c.replied = now, now
	}
	c.sources = slices.Concat(near, far)
}

// distance orders sources differently at each instance.
func (c *Course) distance(a netip.AddrPort) uint64 {
	return xxhash.Sum64String(string(c.self.ID) + "\x00" + a.String())
}

// Source returns the instance to ask next, if there is one that is not left alone.
func (c *Course) Source(now time.Time) (netip.AddrPort, bool) {
	var usable []netip.AddrPort
	for _, s := range c.sources {
		if !now.Before(c.resting[s]) {
			usable = append(usable, s)
		}
		if !c.watcher && len(usable) == turnSources {
			break
		}
	}
	if len(usable) == 0 {
		return netip.AddrPort{}, false
	}
	c.turn++
	return usable[c.turn%len(usable)], true
}

// Replied notes a source's reply, and how long before now the store's word was new there.
func (c *Course) Replied(s netip.AddrPort, age time.Duration, now time.Time) {
	delete(c.resting, s)
	c.replied = now
	if at := now.Add(-age); age < awayTime && at.After(c.heard) {
		c.heard = at
	}
}

// Wait returns the time for which the next source may wait for news, and the time after which it has failed.
func (c *Course) Wait() (wait, timeout time.Duration) {
	if c.heard.IsZero() {
		return firstWait, firstWait + firstSlack
	}
	return newsWait, newsWait + replySlack
}

// Failed notes a source that did not reply.
func (c *Course) Failed(s netip.AddrPort, now time.Time) { c.resting[s] = now.Add(restTime) }

// Heard returns the time at which the store's word was new at a source, zero when there was none.
func (c *Course) Heard() time.Time { return c.heard }

// Asks reports whether the instance asks others also while it hears from the store. A watcher does, since it does not
// notice a store that is silent towards it, and others depend on its word.
func (c *Course) Asks() bool { return !c.watcher || !c.small }

// Watches reports whether the instance watches the store itself.
func (c *Course) Watches(now time.Time) bool {
	if c.watcher {
		c.solo = time.Time{}
		return true
	}
	switch {
	case c.small && c.read && now.Sub(c.start) >= joinTime:
		// The others do not ask each other, so that all sources may be without news.
		return true
	case c.lacks(now):
		if c.solo.IsZero() {
			c.solo = now
		}
	case now.Sub(c.solo) >= soloTime:
		c.solo = time.Time{}
	}
	return !c.solo.IsZero()
}

// lacks reports whether the sources fail this instance.
func (c *Course) lacks(now time.Time) bool {
	switch {
	case c.heard.IsZero() && c.listed && len(c.sources) > 0:
		return now.Sub(c.start) >= startTime
	case c.heard.IsZero():
		return now.Sub(c.start) >= joinTime
	case now.Sub(c.replied) < silentTime:
		return now.Sub(c.heard) >= awayTime
	default:
		return now.Sub(c.heard) >= silentTime
	}
}
