package health

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
)

// Observe takes a batch of outcomes of this instance's calls. Outcomes of other services are ignored.
func (t *Tracker) Observe(outcomes []route.TryOutcome, now time.Time) {
	var medians map[ident.ServerID]float64
	for _, o := range outcomes {
		s, ok := t.servers[o.Server]
		if !ok || o.Service != t.service {
			continue
		}
		s.lastCall = now
		if o.Draining {
			s.drain(now)
		}
		if o.Start.Before(s.since) || o.Result == route.ResultCanceled {
			continue
		}
		if o.Slots > 0 && o.Slots < s.spec.Slots {
			s.reported, s.reportedUntil = o.Slots, now.Add(reportLifetime)
		}
		if medians == nil {
			medians = t.medians(now)
		}
		t.observe(s, o, medians[o.Server], now)
	}
}

// observe takes one outcome. ref is the median latency of the server's peers in seconds, or 0.
func (t *Tracker) observe(s *server, o route.TryOutcome, ref float64, now time.Time) {
	if s.calls == 0 {
		s.firstCall = now
	}
	s.calls++
	s.judged++
	if o.Result != route.ResultOK {
		s.failRate += smoothing * (1 - s.failRate)
		t.failed(s, o.Result, now)
		return
	}
	s.failRate -= smoothing * s.failRate
	s.fails, s.probeFails = 0, 0
	v := o.Latency.Seconds()
	switch s.state {
	case StateWarming:
		s.measure(o.Latency)
		if above(v, ref, coldFactor) {
			s.slacken()
			return
		}
		s.lastGood = now
		s.succeed(now)
		t.domainRecovered(s, now)
	case StateActive:
		t.succeeded(s, v, ref, now)
		s.measure(o.Latency)
	case StateEjected, StateDraining:
	}
}

// succeeded judges the latency of a good call at an active server.
func (t *Tracker) succeeded(s *server, v, ref float64, now time.Time) {
	s.lastGood = now
	// A jump that the peers share comes from load or from a dependency, not from this server.
	if above(v, s.base, coldFactor) && above(v, ref, coldFactor) {
		s.slowRun++
	} else {
		s.slowRun = 0
	}
	switch {
	case s.slowRun >= coldRun:
		s.cold(now)
	case s.judged >= minJudged && above(s.mean, ref, outlierFactor):
		t.eject(s, now)
	}
}

// failed handles a failed call.
func (t *Tracker) failed(s *server, r route.Result, now time.Time) {
	if r == route.ResultShed {
		// Shedding says that the server is full, which is no reason to eject it.
		if s.state == StateWarming {
			s.slacken()
		}
		return
	}
	s.fails++
	switch s.state {
	case StateWarming:
		s.limit, s.good = 1, 0
		if s.fails >= warmFailLimit {
			t.eject(s, now)
		}
	case StateActive:
		switch {
		case s.fails >= failLimit, s.judged >= minJudged && s.failRate >= failFraction:
			t.eject(s, now)
		case r == route.ResultRefused, r == route.ResultBroken && s.fails >= 2:
			// The process may be restarting: what listens there next is cold.
			fails := s.fails
			s.cold(now)
			s.fails = fails
		}
	case StateEjected, StateDraining:
	}
}

// Report is the result of one probe.
type Report struct {
	Server ident.ServerID
	// Start is the time at which the probe began.
	Start time.Time
	// Failed says that there was no valid response in time.
	Failed bool
	// Draining says that the server reported that it takes no more work.
	Draining bool
	// Slots is the number of slots that the server reported, or 0.
	Slots ident.Slots
}

// Probed takes the result of a probe. It can only lower trust in the server.
func (t *Tracker) Probed(r Report, now time.Time) {
	s, ok := t.servers[r.Server]
	if !ok {
		return
	}
	s.lastProbe = now
	if r.Draining {
		s.drain(now)
		return
	}
	if r.Slots > 0 && r.Slots < s.spec.Slots {
		s.reported, s.reportedUntil = r.Slots, now.Add(reportLifetime)
	}
	if !r.Failed {
		s.probeFails = 0
		return
	}
	s.probeFails++
	switch s.state {
	case StateEjected:
		if s.until.Sub(now) < baseEjection/2 {
			s.until = now.Add(baseEjection / 2)
		}
	case StateActive, StateWarming:
		if s.probeFails >= probeFailLimit && s.lastGood.Before(r.Start) {
			t.eject(s, now)
		}
	case StateDraining:
	}
}

// medians returns for each server the median latency of the other active servers of its version that have
// had calls lately, in seconds. Idle servers and those of other versions do not show what the service's load
// does to latency.
func (t *Tracker) medians(now time.Time) map[ident.ServerID]float64 {
	peers := make(map[ident.VersionName][]float64)
	for _, id := range t.ids {
		if s := t.servers[id]; s.peer(now) {
			peers[s.spec.Version] = append(peers[s.spec.Version], s.quick)
		}
	}
	for _, vs := range peers {
		slices.Sort(vs)
	}
	out := make(map[ident.ServerID]float64, len(t.ids))
	for _, id := range t.ids {
		s := t.servers[id]
		vs := peers[s.spec.Version]
		n, own := len(vs), len(vs)
		if s.peer(now) {
			n--
			own, _ = slices.BinarySearch(vs, s.quick)
		}
		if n == 0 {
			continue
		}
		// The median of the others skips the server's own value.
		mid := (n - 1) / 2
		if own <= mid {
			mid++
		}
		out[id] = vs[mid]
	}
	return out
}

// peer reports whether other servers are compared with this one.
func (s *server) peer(now time.Time) bool {
	return s.state == StateActive && s.quick > 0 && now.Sub(s.lastCall) <= recentCalls
}
