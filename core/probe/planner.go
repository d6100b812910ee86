// Package probe decides which backend servers are probed, within a rate and bandwidth budget per server.
//
// A server is probed by its owner, the instance that also warms it up. This needs no coordination per probe. In
// any period T all instances together send at most rate*T+1 probes, because a new owner waits for the takeover
// delay before its first probe.
package probe

import (
	"cmp"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

// Limits of a Planner.
const (
	// MaxBytes is the maximum size of one probe, requests and responses together. It is reserved from the budget
	// before the probe; the unused part is returned after it.
	MaxBytes ident.Bytes = 600
	// maxInflight bounds the probes in flight at this instance, to not start all probes at once when many
	// servers fail.
	maxInflight = 8
	// idleTime is the time without calls after which the last response no longer shows a server's state.
	idleTime = 5 * time.Second
	// idleInterval is the time between two probes of an idle server.
	idleInterval = 10 * time.Second
	// resultTimeout is the time after which a probe without a result no longer counts as in flight. Its bytes
	// stay used.
	resultTimeout = 10 * time.Second
)

// Candidate is a backend server that this instance probes as its owner.
type Candidate struct {
	Server ident.ServerID
	// AssignedSince is the time since which this instance probes the server.
	AssignedSince time.Time
	// OutOfService reports that the server is ejected or draining, so that only probes reveal its state.
	OutOfService bool
	// ReadmissionDue reports that the server is about to be re-admitted.
	ReadmissionDue bool
	// LastCall is the time at which the last call ended.
	LastCall time.Time
}

// Planner keeps a probe budget for each server. It is not safe for concurrent use.
type Planner struct {
	probesPerSecond float64
	bytesPerSecond  ident.Bytes
	takeoverDelay   time.Duration
	budgets         map[ident.ServerID]*budget
}

// budget is the probe budget of one server: a minimum interval between probes and a token bucket of bytes.
type budget struct {
	assignedSince time.Time
	// nextProbe is the earliest time of the next probe.
	nextProbe  time.Time
	tokens     float64
	refilledAt time.Time
	lastProbe  time.Time
	inflight   bool
}

// New returns a planner with a rate in probes/s and a bandwidth in bytes/s per backend server. An instance that
// is newly assigned to a server waits for takeoverDelay before its first probe.
func New(rate float64, bytes ident.Bytes, takeoverDelay time.Duration) *Planner {
	return &Planner{probesPerSecond: rate, bytesPerSecond: bytes, takeoverDelay: takeoverDelay, budgets: make(map[ident.ServerID]*budget)}
}

// Plan returns the servers to probe now, the most urgent ones first, and charges the probes to their budgets.
// candidates are all servers that this instance is assigned to probe; the budgets of others are deleted.
func (p *Planner) Plan(candidates []Candidate, now time.Time) []ident.ServerID {
	if p.probesPerSecond <= 0 || p.bytesPerSecond <= 0 {
		return nil
	}
	p.dropUnassigned(candidates)
	free := maxInflight
	var ready []Candidate
	for _, c := range candidates {
		b := p.budgetFor(c, now)
		b.refill(float64(p.bytesPerSecond), now)
		if b.inflight && now.Sub(b.lastProbe) < resultTimeout {
			free--
			continue
		}
		b.inflight = false
		if now.Sub(c.AssignedSince) >= p.takeoverDelay && !now.Before(b.nextProbe) && b.tokens >= float64(MaxBytes) && c.needsProbe(b.lastProbe, now) {
			ready = append(ready, c)
		}
	}
	slices.SortStableFunc(ready, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(y.urgency(), x.urgency()), p.budgets[x.Server].lastProbe.Compare(p.budgets[y.Server].lastProbe))
	})
	var out []ident.ServerID
	for _, c := range ready[:max(0, min(free, len(ready)))] {
		p.budgets[c.Server].startProbe(p.probesPerSecond, now)
		out = append(out, c.Server)
	}
	return out
}

// ProbeFinished returns the unused bytes of a probe to the budget. A probe larger than MaxBytes reduces the
// budget of later ones.
func (p *Planner) ProbeFinished(id ident.ServerID, used ident.Bytes) {
	if b, ok := p.budgets[id]; ok && b.inflight {
		b.inflight = false
		b.tokens += float64(MaxBytes - used)
	}
}

// ResetBudgets deletes all budgets after this instance was paused, because others may have probed its servers.
func (p *Planner) ResetBudgets() { clear(p.budgets) }

func (p *Planner) dropUnassigned(candidates []Candidate) {
	keep := make(map[ident.ServerID]bool, len(candidates))
	for _, c := range candidates {
		keep[c.Server] = true
	}
	for id := range p.budgets {
		if !keep[id] {
			delete(p.budgets, id)
		}
	}
}

func (p *Planner) budgetFor(c Candidate, now time.Time) *budget {
	b, ok := p.budgets[c.Server]
	if !ok || !b.assignedSince.Equal(c.AssignedSince) {
		// A new assignment starts with an empty bucket and a full interval. The former owner may continue
		// for half of the delay, and the bucket must not refill for the bytes of its last probe.
		b = &budget{assignedSince: c.AssignedSince, nextProbe: now.Add(p.probeInterval()), refilledAt: now.Add(p.takeoverDelay / 2)}
		p.budgets[c.Server] = b
	}
	return b
}

func (p *Planner) probeInterval() time.Duration {
	return time.Duration(float64(time.Second) / p.probesPerSecond)
}

func (b *budget) refill(rate float64, now time.Time) {
	if now.Before(b.refilledAt) {
		return
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), float64(MaxBytes))
	b.refilledAt = now
}

func (b *budget) startProbe(rate float64, now time.Time) {
	b.tokens -= float64(MaxBytes)
	b.nextProbe = now.Add(time.Duration(float64(time.Second) / rate))
	b.lastProbe, b.inflight = now, true
}

// needsProbe reports whether a probe can reveal anything that calls do not.
func (c Candidate) needsProbe(last, now time.Time) bool {
	if c.OutOfService {
		return true
	}
	return now.Sub(c.LastCall) >= idleTime && now.Sub(last) >= idleInterval
}

func (c Candidate) urgency() int {
	switch {
	case c.ReadmissionDue:
		return 2
	case c.OutOfService:
		return 1
	default:
		return 0
	}
}
