package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
)

// preview is a call that is not sent. It picks a server by the code of calls, on copies of what calls change, with a clock
// and a random source of its own. In place of status checks it uses the last load reports.
type preview struct {
	*call
	clock previewClock
	// drawn holds the servers that it would have checked.
	drawn []*spread.Server
}

var _ checker = (*preview)(nil)

// previewClock passes the time at once that something waits for.
type previewClock struct{ *clockwork.FakeClock }

// NewTimer returns a timer that has fired after d.
func (c previewClock) NewTimer(d time.Duration) clockwork.Timer {
	t := c.FakeClock.NewTimer(d)
	c.Advance(d)
	return t
}

// After returns a channel that has a value after d.
func (c previewClock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// newPreview returns a call to the host and path that arrives now, with a handler of its own.
func (h *Handler) newPreview(host rules.Host, path string, seed uint64) *preview {
	now := h.clock.Now()
	clock := previewClock{clockwork.NewFakeClockAt(now)}
	p := &preview{clock: clock, call: &call{ctx: context.Background(), arrived: now, r: &http.Request{Host: string(host), RequestURI: path}}}
	tokens := max(0, int(h.checks.TokensAt(now)))
	p.h = &Handler{
		snapshots: h.snapshots, clock: clock, metrics: NewMetrics(), checks: rate.NewLimiter(h.checks.Limit(), tokens),
		durations: h.durations, seed: seed, checker: p,
	}
	return p
}

// selectService draws the service, and copies what calls to it change. It returns false if there is none.
func (p *preview) selectService(h *Handler, snap *spread.Snapshot) bool {
	name, ok := p.route.PickService(p.h.rng())
	if !ok || snap.Services[name] == nil {
		return false
	}
	svc := *snap.Services[name]
	svc.TrialLimiter = svc.TrialLimiter.Clone()
	p.service, p.svc = name, &svc
	p.h.crossings = h.crossings.clone(name)
	p.admission = admission{queue: h.queues.clone(name), byDeadline: p.waitsByDeadline(snap)}
	// The pools and the policies regard the call as a first try.
	p.tries, p.cause = []*try{{}}, retry.CauseNoServer
	return true
}

// known returns the server as if it replied to a check with its last load report. A server that has never replied counts
// as idle.
func (p *preview) known(s *spread.Server) *pick {
	now := p.clock.Now()
	load := spread.LoadReport{Slots: s.Slots, Slowness: spread.NormalSlowness}
	r, ok := s.State.LastReport()
	if ok {
		load = r.Load
		load.ColdFor = max(0, load.ColdFor-now.Sub(r.At))
	}
	return &pick{
		server: s, load: load, cost: s.Cost(load, now),
		evidence: spread.Evidence{Load: load, Known: ok, At: now, SentBefore: s.State.Sent()},
	}
}

// checkServers returns the server with the lowest cost by the last load reports.
func (p *preview) checkServers(_ *spread.Service, servers []*spread.Server, _ time.Time) *pick {
	var best *pick
	for _, s := range servers {
		if !slices.Contains(p.drawn, s) {
			p.drawn = append(p.drawn, s)
		}
		if s.State.Silent() {
			continue
		}
		k := p.known(s)
		if k.load.ColdFor > 0 && !s.State.AllowsColdCall(p.clock.Now(), s.ColdInterval) {
			continue
		}
		best = keepCheaper(p, best, k)
	}
	return best
}

// release does nothing, since no connection is in use.
func (p *preview) release(*pick) {}

// replied reports whether the server would reply.
func (p *preview) replied(s *spread.Server, _ time.Time) bool {
	return slices.Contains(p.drawn, s) && !s.State.Silent()
}

// previewSeed returns a seed that is independent of the random source of calls.
func previewSeed() uint64 { return rand.Uint64() }
