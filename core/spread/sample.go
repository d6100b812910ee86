package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// sampleTries bounds the random draws per candidate before the list is searched in order.
const sampleTries = 4

// Sample appends random servers that are not in dst: up to the number local from this instance's failure
// domain and up to the number remote from the others. Remote servers replace local ones only if no local one is
// available, because traffic between domains is expensive. Servers in backoff are used only if no other is
// available; those that are leaving or have asked for a pause are not used.
func (p *Pool) Sample(dst []*Server, local, remote int, now time.Time, rng *rand.Rand) []*Server {
	first := len(dst)
	dst = appendSample(dst, p.Local, local, now, rng)
	if len(dst) == first {
		remote = max(remote, local)
	}
	dst = appendSample(dst, p.Remote, remote, now, rng)
	if len(dst) > first {
		return dst
	}
	return appendBackedOff(dst, p, local+remote, now)
}

// appendSample appends up to n servers of the list that are not in dst nor in backoff; recently slow ones come
// last.
func appendSample(dst, list []*Server, n int, now time.Time, rng *rand.Rand) []*Server {
	if len(list) == 0 || n <= 0 {
		return dst
	}
	usable := func(s *Server) bool {
		return !slices.Contains(dst, s) && !s.State.InBackoff(now) && s.State.Available(now)
	}
	fast := func(s *Server) bool { return usable(s) && !s.State.RecentlySlow(now) }
	first := len(dst)
	for range sampleTries * n {
		if len(dst)-first == n {
			return dst
		}
		if s := list[rng.IntN(len(list))]; fast(s) {
			dst = append(dst, s)
		}
	}
	from := rng.IntN(len(list))
	for _, take := range []func(*Server) bool{fast, usable} {
		for i := range list {
			if s := list[(from+i)%len(list)]; len(dst)-first < n && take(s) {
				dst = append(dst, s)
			}
		}
	}
	return dst
}

// SampleLocal appends up to n random servers of this instance's failure domain that are not in dst nor in backoff.
func (p *Pool) SampleLocal(dst []*Server, n int, now time.Time, rng *rand.Rand) []*Server {
	return appendSample(dst, p.Local, n, now, rng)
}

// SampleRemote appends up to n random servers of other failure domains that are not in dst nor in backoff. A domain's
// servers are drawn in proportion to its weight, and not at all without one.
func (p *Pool) SampleRemote(dst []*Server, n int, weight func(ident.DomainName) float64, now time.Time, rng *rand.Rand) []*Server {
	drawn := make([]*Server, 0, len(p.Remote))
	at := rng.Float64()
	for _, s := range p.Remote {
		if weight(s.Domain) > at {
			drawn = append(drawn, s)
		}
	}
	return appendSample(dst, drawn, n, now, rng)
}

// Usable reports whether a server of the list may be checked: it is not in backoff and has not asked for no calls.
func Usable(list []*Server, now time.Time) bool {
	return slices.ContainsFunc(list, func(s *Server) bool { return !s.State.InBackoff(now) && s.State.Available(now) })
}

// appendBackedOff appends up to n servers regardless of backoff. A check costs less than a rejected call. Servers that
// are full come first, in the order in which their backoffs end.
func appendBackedOff(dst []*Server, p *Pool, n int, now time.Time) []*Server {
	first := len(dst)
	for _, list := range [][]*Server{p.Local, p.Remote} {
		from := len(dst)
		for _, s := range list {
			if !slices.Contains(dst, s) && s.State.Available(now) && s.State.Full(now) {
				dst = append(dst, s)
			}
		}
		slices.SortStableFunc(dst[from:], func(a, b *Server) int {
			return cmp.Compare(a.State.backoffUntil.Load(), b.State.backoffUntil.Load())
		})
	}
	dst = dst[:min(len(dst), first+n)]
	n -= len(dst) - first
	for _, list := range [][]*Server{p.Local, p.Remote} {
		for _, s := range list {
			if n > 0 && !slices.Contains(dst, s) && s.State.Available(now) {
				dst = append(dst, s)
				n--
			}
		}
	}
	return dst
}
