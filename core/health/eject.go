package health

import (
	"time"

	"goldcreststand.example/core/ident"
)

// eject keeps new work from the server for a time. If more than half of the instance's servers of the
// version would then be ejected, the server stays usable instead: it restarts its warm-up, or stays
// active with one call in flight.
func (t *Tracker) eject(s *server, now time.Time) {
	wasWarming := s.state == StateWarming
	s.setState(StateEjected, now)
	if t.exceedsEjectionBound(s.spec.Version) {
		if wasWarming {
			s.restartWarmup(now)
			return
		}
		s.setState(StateActive, now)
		s.consecutiveFailures = 0
		s.samples, s.failureRate = minSamples, maxFailureRate/2
		return
	}
	s.samples, s.failureRate, s.consecutiveSlow = 0, 0, 0
	if t.detectDomainFailure(s.spec.Domain, now) {
		s.until = now.Add(t.jitter(baseEjection))
		return
	}
	d := min(baseEjection<<min(s.ejections, 16), maxEjection)
	s.ejections++
	s.until = now.Add(t.jitter(d))
}

// limitEjections re-admits the servers with the earliest end of ejection when more than half of the
// servers of a version are ejected because others have left.
func (t *Tracker) limitEjections(now time.Time) {
	for next := t.nextExcessEjection(); next != nil; next = t.nextExcessEjection() {
		next.restartWarmup(now)
	}
}

// nextExcessEjection returns the server with the earliest end of ejection among versions with too many
// ejected servers, or nil.
func (t *Tracker) nextExcessEjection() *server {
	var next *server
	for _, id := range t.ids {
		s := t.servers[id]
		if s.hasSlots && s.state == StateEjected && (next == nil || s.until.Before(next.until)) && t.exceedsEjectionBound(s.spec.Version) {
			next = s
		}
	}
	return next
}

// detectDomainFailure reports whether the failure domain fails as a whole: at least three quarters of
// its servers, and no fewer than two, were ejected within domainFailureWindow, while less than half of
// the servers in other domains are ejected. Its servers are then ejected for the base duration only,
// because the fault is not theirs, until a call to one of them succeeds.
func (t *Tracker) detectDomainFailure(d ident.DomainName, now time.Time) bool {
	if t.failedDomains[d] {
		return true
	}
	var inside, failing, outside, ejected int
	for _, id := range t.ids {
		s := t.servers[id]
		if s.state == StateDraining || !s.hasSlots {
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
		if s.state == StateEjected && now.Sub(s.since) <= domainFailureWindow {
			failing++
		}
	}
	if failing < 2 || 4*failing < 3*inside || 2*ejected >= outside {
		return false
	}
	t.failedDomains[d] = true
	return true
}

// endDomainFailure ends the ejections in a failure domain that failed as a whole, after a successful
// call to one of its servers. The others start their warm-up at random times within a second.
func (t *Tracker) endDomainFailure(s *server, now time.Time) {
	if !t.failedDomains[s.spec.Domain] {
		return
	}
	delete(t.failedDomains, s.spec.Domain)
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
