package health

import (
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
)

// Observe processes a batch of outcomes of this instance's calls. Outcomes of other services are
// ignored.
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
			s.reportedSlots, s.reportedUntil = o.Slots, now.Add(reportedSlotsTTL)
		}
		if medians == nil {
			medians = t.peerMedians(now)
		}
		t.observeCall(s, o, medians[o.Server], now)
	}
}

// observeCall processes one outcome. ref is the median latency of the server's peers in seconds, or 0.
func (t *Tracker) observeCall(s *server, o route.TryOutcome, ref float64, now time.Time) {
	if s.calls == 0 {
		s.firstCall = now
	}
	s.calls++
	s.samples++
	if o.Result != route.ResultOK {
		s.failureRate += smoothing * (1 - s.failureRate)
		t.handleFailure(s, o.Result, now)
		return
	}
	s.failureRate -= smoothing * s.failureRate
	s.consecutiveFailures, s.probeFailures = 0, 0
	v := o.Latency.Seconds()
	switch s.state {
	case StateWarming:
		s.recordLatency(o.Latency)
		if farAbove(v, ref, slowFactor) {
			s.reduceWarmupLimit()
			return
		}
		s.lastSuccess = now
		s.countWarmupSuccess(now)
		t.endDomainFailure(s, now)
	case StateActive:
		t.handleSuccess(s, v, ref, now)
		s.recordLatency(o.Latency)
	case StateEjected, StateDraining:
	}
}

// handleSuccess checks the latency of a successful call to an active server.
func (t *Tracker) handleSuccess(s *server, v, ref float64, now time.Time) {
	s.lastSuccess = now
	// An increase that all peers show comes from load or from a dependency, not from this server.
	if farAbove(v, s.longMeanLatency, slowFactor) && farAbove(v, ref, slowFactor) {
		s.consecutiveSlow++
	} else {
		s.consecutiveSlow = 0
	}
	switch {
	case s.consecutiveSlow >= maxConsecutiveSlow:
		s.restartWarmup(now)
	case s.samples >= minSamples && farAbove(s.meanLatency, ref, outlierFactor):
		t.eject(s, now)
	}
}

// handleFailure processes a failed call.
func (t *Tracker) handleFailure(s *server, r route.Result, now time.Time) {
	if r == route.ResultShed {
		// Load shedding means that the server is full, which is no reason to eject it.
		if s.state == StateWarming {
			s.reduceWarmupLimit()
		}
		return
	}
	s.consecutiveFailures++
	switch s.state {
	case StateWarming:
		s.warmupLimit, s.warmupSuccesses = 1, 0
		if s.consecutiveFailures >= maxWarmupFailures {
			t.eject(s, now)
		}
	case StateActive:
		switch {
		case s.consecutiveFailures >= maxConsecutiveFailures, s.samples >= minSamples && s.failureRate >= maxFailureRate:
			t.eject(s, now)
		case r == route.ResultRefused, r == route.ResultBroken && s.consecutiveFailures >= 2:
			// The process may be restarting: the next process that listens there needs a warm-up.
			failures := s.consecutiveFailures
			s.restartWarmup(now)
			s.consecutiveFailures = failures
		}
	case StateEjected, StateDraining:
	}
}

// ProbeResult is the result of one probe.
type ProbeResult struct {
	Server ident.ServerID
	// Start is the time at which the probe began.
	Start time.Time
	// Failed is set when no valid response arrived in time.
	Failed bool
	// Draining is set when the server reported that it accepts no more work.
	Draining bool
	// Slots is the number of slots that the server reported, or 0.
	Slots ident.Slots
}

// ObserveProbe processes the result of a probe. It can only reduce what this instance sends to the
// server.
func (t *Tracker) ObserveProbe(r ProbeResult, now time.Time) {
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
		s.reportedSlots, s.reportedUntil = r.Slots, now.Add(reportedSlotsTTL)
	}
	if !r.Failed {
		s.probeFailures = 0
		return
	}
	s.probeFailures++
	switch s.state {
	case StateEjected:
		if s.until.Sub(now) < baseEjection/2 {
			s.until = now.Add(baseEjection / 2)
		}
	case StateActive, StateWarming:
		if s.probeFailures >= maxProbeFailures && s.lastSuccess.Before(r.Start) {
			t.eject(s, now)
		}
	case StateDraining:
	}
}

// peerMedians returns for each server the median latency in seconds of the other active servers of its
// version that had calls recently. Idle servers and servers of other versions do not show how the load
// of the service affects latency.
func (t *Tracker) peerMedians(now time.Time) map[ident.ServerID]float64 {
	peers := make(map[ident.VersionName][]float64)
	for _, id := range t.ids {
		if s := t.servers[id]; s.isPeer(now) {
			peers[s.spec.Version] = append(peers[s.spec.Version], s.shortMeanLatency)
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
		if s.isPeer(now) {
			n--
			own, _ = slices.BinarySearch(vs, s.shortMeanLatency)
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

// isPeer reports whether other servers are compared with this one.
func (s *server) isPeer(now time.Time) bool {
	return s.state == StateActive && s.shortMeanLatency > 0 && now.Sub(s.lastCall) <= peerWindow
}
