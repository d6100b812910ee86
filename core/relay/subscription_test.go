package relay_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/ring"
)

var start = time.Unix(1e6, 0)

// members returns instances in four failure domains, the last four with the fastest links.
func members(n int) []ring.Member {
	out := make([]ring.Member, n)
	for i := range out {
		out[i] = ring.Member{
			ID: ident.InstanceID("i" + strconv.Itoa(i)), Domain: ident.DomainName("d" + strconv.Itoa(i%4)),
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7), Link: 10,
		}
		if i >= n-4 {
			out[i].Link = 200
		}
	}
	return out
}

// Guards against a failure domain without a watcher, and against a slow link that all others hear over.
func TestWatchers(t *testing.T) {
	count := make(map[ident.DomainName]int)
	fast := 0
	for _, m := range relay.Watchers(members(40)) {
		count[m.Domain]++
		if m.Link == 200 {
			fast++
		}
	}
	require.Equal(t, map[ident.DomainName]int{"d0": 2, "d1": 2, "d2": 2, "d3": 2}, count)
	require.Equal(t, 4, fast)
	require.Len(t, relay.Watchers(members(16)), 16)
}

// follower returns the course of an instance that is no watcher and was listed before it started.
func follower(t *testing.T) *relay.Subscription {
	ms := members(40)
	c := relay.NewSubscription(ms[9], start)
	c.SetMembers(ms, start)
	require.False(t, c.Watches(start))
	return c
}

// Guards against an instance that asks one source only, which may be cut off from the store.
func TestSourcesTakeTurns(t *testing.T) {
	c := follower(t)
	seen := make(map[netip.AddrPort]int)
	for range 10 {
		s, ok := c.Source(start)
		require.True(t, ok)
		seen[s]++
	}
	require.Len(t, seen, 3)
	for _, n := range seen {
		require.GreaterOrEqual(t, n, 3)
	}
}

// Guards against questions to sources that do not reply, and against an instance that asks nobody again.
func TestFailedSourcesRest(t *testing.T) {
	c := follower(t)
	failed := make(map[netip.AddrPort]bool)
	for {
		s, ok := c.Source(start)
		if !ok {
			break
		}
		require.False(t, failed[s], "asked again at once")
		failed[s] = true
		c.Failed(s, start)
	}
	require.Len(t, failed, 8)
	_, ok := c.Source(start.Add(time.Second))
	require.True(t, ok)
}

// Guards against an instance that waits for sources that are not up to date, and against one that reads
// the store while they do.
func TestWatches(t *testing.T) {
	ms := members(40)
	tests := []struct {
		name string
		// listed says that the instance was listed before it started.
		listed bool
		// replies are the times, in milliseconds, of replies of a source, and ages the ages that they tell.
		replies, ages []int
		before, from  int
	}{
		{name: "restarted, silent sources", listed: true, before: 249, from: 250},
		{name: "new, silent sources", before: 999, from: 1000},
		{name: "source falls silent", listed: true, replies: []int{20, 500}, ages: []int{0, 0}, before: 1699, from: 1700},
		{name: "source loses the store", listed: true, replies: []int{0, 900, 1800, 2700, 3600}, ages: []int{0, 900, 1800, 2700, 3600}, before: 3999, from: 4000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := relay.NewSubscription(ms[9], start)
			if tt.listed {
				c.SetMembers(ms, start)
			} else {
				c.SetMembers(append(members(40)[:9], ms[10:]...), start)
			}
			s, _ := c.Source(start)
			for i, at := range tt.replies {
				now := start.Add(time.Duration(at) * time.Millisecond)
				require.False(t, c.Watches(now))
				c.Replied(s, time.Duration(tt.ages[i])*time.Millisecond, now)
			}
			require.False(t, c.Watches(start.Add(time.Duration(tt.before)*time.Millisecond)))
			now := start.Add(time.Duration(tt.from) * time.Millisecond)
			require.True(t, c.Watches(now))
			// Going to and fro would cost more than watching for a while.
			c.Replied(s, 0, now)
			require.True(t, c.Watches(now))
			now = now.Add(5 * time.Second)
			c.Replied(s, 0, now)
			require.False(t, c.Watches(now))
		})
	}
}

// Guards against an instance that reads the store again when another one takes its place as a watcher.
func TestFormerWatcherTrustsWhatItKnows(t *testing.T) {
	ms := members(40)
	c := relay.NewSubscription(ms[8], start)
	c.SetMembers(ms[:20], start)
	require.True(t, c.Watches(start))
	now := start.Add(time.Minute)
	c.SetMembers(ms, now)
	require.False(t, c.Watches(now))
	require.False(t, c.Watches(now.Add(time.Second)))
}

// Guards against questions between the instances of a small fleet, and against an instance that starts in a large one and
// reads the store because it has seen a part of the list only.
func TestSmallFleet(t *testing.T) {
	ms := members(40)
	c := relay.NewSubscription(ms[9], start)
	c.SetMembers(ms[:9], start)
	require.False(t, c.Watches(start))
	require.True(t, c.Asks())
	// Those that it asks do not ask each other: they may all be without news.
	s, _ := c.Source(start)
	later := start.Add(time.Second)
	c.Replied(s, 0, later)
	require.True(t, c.Watches(later))
	c.SetMembers(ms[:16], start)
	require.True(t, c.Watches(start))
	require.False(t, c.Asks())
	c.SetMembers(ms, start)
	require.True(t, c.Asks())
}

// Guards against an instance that starts and waits for a source without power, while callers wait for it.
func TestFirstQuestionsAreShort(t *testing.T) {
	c := follower(t)
	_, timeout := c.Wait()
	require.Less(t, 3*timeout, 250*time.Millisecond, "not all sources can be asked before the store")
	s, _ := c.Source(start)
	c.Replied(s, time.Minute, start)
	_, again := c.Wait()
	require.Equal(t, timeout, again, "a reply of a source that is not up to date changed the timeout")
	c.Replied(s, 0, start)
	wait, timeout := c.Wait()
	require.Greater(t, wait, 250*time.Millisecond)
	require.Greater(t, timeout, wait)
}
