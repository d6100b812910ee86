package health

import (
	"time"

	"goldcreststand.example/core/ident"
)

// eject keeps new work from the server for a time, unless half of the instance's servers of the version are ejected already: then
// it keeps one call in flight.
func (t *Tracker) eject(s *server, now time.Time) {
	cold := s.state == StateWarming
	s.enter(StateEjected, now)
	if t.tooMany(s.spec.Version) {
		if cold {
			s.cold(now)
			return
		}
		s.enter(StateActive, now)
		s.fails = 0
		s.judged, s.failRate = minJudged, failFraction/2
		return
	}
	s.judged, s.failRate, s.slowRun = 0, 0, 0
	if t.judgeDomain(s.spec.Domain, now) {
		s.until = now.Add(t.jitter(baseEjection))
		return
	}
	d := min(baseEjection<<min(s.ejections, 16), maxEjection)
	s.ejections++
	s.until = now.Add(t.jitter(d))
}

// boundEjections re-admits the servers that were to come back soonest, when servers that left
// have made the ejected ones more than half.
func (t *Tracker) boundEjections(now time.Time) {
	for next := t.excess(); next != nil; next = t.excess() {
		next.cold(now)
	}
}

// excess returns the server that is to come back soonest of a version with too many ejected servers, or nil.
func (t *Tracker) excess() *server {
	var next *server
	for _, id := range t.ids {
		s := t.servers[id]
		if s.ranked && s.state == StateEjected && (next == nil || s.until.Before(next.until)) && t.tooMany(s.spec.Version) {
			next = s
		}
	}
	return next
}

// judgeDomain reports whether the failure domain fails as a whole: three quarters of its servers, two
// at least, were ejected in a short time, while less than half of the servers elsewhere are ejected.
// Its servers then keep their base ejection, because the fault is not theirs, until a good call at one
// of them.
func (t *Tracker) judgeDomain(d ident.DomainName, now time.Time) bool {
	if t.down[d] {
		return true
	}
	var inside, failing, outside, ejected int
	for _, id := range t.ids {
		s := t.servers[id]
		if s.state == StateDraining || !s.ranked {
			continue
		}
		if s.spec.Domain != d {
			outside++
			if s.state == StateEjected {
				ejected++
			}
			continue
		}
		inside++
		if s.state == StateEjected && now.Sub(s.since) <= domainWindow {
			failing++
		}
	}
	if failing < 2 || 4*failing < 3*inside || 2*ejected >= outside {
		return false
	}
	t.down[d] = true
	return true
}

// domainRecovered ends the ejections in a failure domain that failed as a whole, after a good call at
// one of its servers. The others follow in warm-up, spread over a short time.
func (t *Tracker) domainRecovered(s *server, now time.Time) {
	if !t.down[s.spec.Domain] {
		return
	}
	delete(t.down, s.spec.Domain)
	for _, id := range t.ids {
		other := t.servers[id]
		if other.spec.Domain == s.spec.Domain && other.state == StateEjected {
			if soon := now.Add(time.Duration(t.rng.Int64N(int64(time.Second)))); soon.Before(other.until) {
				other.until = soon
			}
		}
	}
}

func (t *Tracker) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + ejectionJitter*(2*t.rng.Float64()-1)))
}
