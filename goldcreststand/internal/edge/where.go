package edge

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/cross"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/schema/wire"
)

// Query names a call whose way is asked for.
type Query struct {
	Host rules.Host
	Path string
	// Organisation is the name of the sender's organisation, or empty.
	Organisation ident.TenantName
	// Timeout is the caller's timeout, or 0 if it has none.
	Timeout time.Duration
	// Seed is that of the draws.
	Seed uint64
}

// Where returns where a call would go now and why, if the servers stay as they are known. It sends nothing and changes
// nothing that calls use.
func (h *Handler) Where(q Query) *wire.Where {
	p := h.newPreview(q.Host, q.Path, q.Seed)
	out := &wire.Where{Host: string(q.Host), Path: q.Path, Verdict: wire.WhereVerdictRefuse, Candidates: []wire.Candidate{}}
	snap := h.snapshots.Load()
	if snap.Config != nil {
		out.Config = snap.Config.Version
	}
	if rej := p.admit(snap, q, out); rej != nil {
		out.Cause, out.Retry = rej.cause.String(), inMillis(rej.retryAfter)
		return out
	}
	if !p.selectService(h, snap) {
		out.Cause, out.Retry = causeNoServer.String(), inMillis(retryAfter)
		return out
	}
	p.explain(out)
	return out
}

// admit finds the route, and returns the rejection of a call that is not admitted, as call.prepare does.
func (p *preview) admit(snap *spread.Snapshot, q Query, out *wire.Where) *rejection {
	if !snap.Ready {
		return &rejection{cause: causeNotReady, retryAfter: notReadyRetryAfter}
	}
	p.route = findRoute(snap.Config, p.r)
	if p.route == nil {
		return &rejection{cause: causeNoRoute}
	}
	name, kind := string(p.route.Name), p.route.Kind.String()
	out.Route, out.Kind = &name, &kind
	timeout := cmp.Or(q.Timeout, defaultTimeout)
	if p.route.Timeout > 0 {
		timeout = min(timeout, p.route.Timeout)
	}
	p.deadline = p.arrived.Add(timeout)
	p.auth.config = snap.Config
	if snap.Config.Access != nil {
		var known bool
		if p.auth.caller, known = snap.Config.Access.Named(q.Organisation); !known && !p.route.Public {
			return &rejection{status: http.StatusUnauthorized, cause: causeUnauthorized}
		}
	}
	if p.auth.caller != (access.Caller{}) && p.auth.caller.Name != "" {
		organisation := string(p.auth.caller.Name)
		out.Tenant = &organisation
	}
	if !snap.Stop.Accepts(p.arrived, p.deadline) {
		return stoppingRejection()
	}
	return nil
}

// explain picks a server and describes how.
func (p *preview) explain(out *wire.Where) {
	service := string(p.service)
	out.Service, out.Queued = &service, p.admission.queue.length()
	policy := wire.WherePolicyFixed
	if p.admission.byDeadline {
		policy = wire.WherePolicyDeadline
	}
	work := inMillis(p.h.durations.Estimate(p.route.Name))
	out.Policy, out.Work = &policy, &work
	crossing := p.newCrossing()
	states := p.candidates()
	best := p.awaitServer()
	out.Wait = inMillis(p.clock.Now().Sub(p.arrived))
	if best == nil {
		rej := p.rejection()
		out.Cause, out.Retry = rej.cause.String(), inMillis(rej.retryAfter)
	} else {
		out.Verdict = wire.WhereVerdictSend
		if out.Wait > 0 {
			out.Verdict = wire.WhereVerdictWait
		}
		server, version := string(best.server.ID), string(best.server.Version)
		out.Server, out.Version = &server, &version
		out.Trial = slices.Contains(slices.Concat(p.svc.Canary.Local, p.svc.Canary.Remote), best.server)
		crossing.Cross = !best.server.Local
	}
	p.completeCrossing(crossing)
	out.Crossing = crossing
	for i := range states {
		states[i].Drawn = slices.ContainsFunc(p.drawn, func(s *spread.Server) bool { return string(s.ID) == states[i].Server })
	}
	out.Candidates = states
}

// newCrossing returns what is known of the other domains before the call.
func (p *preview) newCrossing() *wire.Crossing {
	out := &wire.Crossing{Order: wire.CrossingOrderFixed, Neighbours: []wire.Neighbour{}}
	x, now, pool := p.h.crossings.get(p.service), p.clock.Now(), p.retryPool()
	counts := domains(pool.Remote)
	x.use(func(c *cross.Controller) {
		out.Need, out.Share = c.Need(now), c.Share(c.Away(counts, 0, now).Room, now)
		for d, n := range counts {
			out.Neighbours = append(out.Neighbours, wire.Neighbour{Domain: string(d), Servers: n, Room: c.Room(d, now)})
		}
	})
	slices.SortFunc(out.Neighbours, func(a, b wire.Neighbour) int { return cmp.Compare(a.Domain, b.Domain) })
	out.Bytes = p.bytes()
	return out
}

// completeCrossing adds the last decision.
func (p *preview) completeCrossing(out *wire.Crossing) {
	if !p.admission.byDeadline {
		return
	}
	d := p.crossing.decision
	out.Order, out.Reason = wire.CrossingOrderJudged, &d.Reason
	out.Home, out.Away, out.Price = inMillis(d.HomeTime), inMillis(d.AwayTime), inMillis(d.Price)
}

// candidates returns the servers of the service, those at home and those that cost least first.
func (p *preview) candidates() []wire.Candidate {
	out := []wire.Candidate{}
	for _, s := range slices.Concat(p.svc.Stable.Local, p.svc.Stable.Remote, p.svc.Canary.Local, p.svc.Canary.Remote) {
		out = append(out, p.candidate(s))
	}
	slices.SortStableFunc(out, func(a, b wire.Candidate) int {
		return cmp.Or(compareBool(b.Home, a.Home), compareBool(b.State == wire.CandidateStateFree, a.State == wire.CandidateStateFree),
			cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Server, b.Server))
	})
	return out
}

func (p *preview) candidate(s *spread.Server) wire.Candidate {
	k, now := p.known(s), p.clock.Now()
	out := wire.Candidate{
		Server: string(s.ID), Domain: string(s.Domain), Version: string(s.Version), Home: s.Local, State: p.state(k, now), Known: k.evidence.Known,
		Running: k.load.Running, Waiting: k.load.Waiting, Slots: k.load.Slots, Slowness: k.load.Slowness,
		Cold: inMillis(k.load.ColdFor), Cost: int(100 * k.cost), Failures: s.State.FailureScore(now),
	}
	if r, ok := s.State.LastReport(); ok {
		out.Age = inMillis(now.Sub(r.At))
	}
	return out
}

// state returns whether the server may take the call.
func (p *preview) state(k *pick, now time.Time) wire.CandidateState {
	st := k.server.State
	switch {
	case st.Leaving():
		return wire.CandidateStateLeaving
	case !st.Available(now):
		return wire.CandidateStatePaused
	case st.Full(now):
		return wire.CandidateStateFull
	case st.Silent() || st.InBackoff(now):
		return wire.CandidateStateSilent
	case k.load.ColdFor > 0 && !st.AllowsColdCall(now, k.server.ColdInterval):
		return wire.CandidateStateCold
	case p.full(k):
		return wire.CandidateStateSaturated
	case !p.acceptable(k):
		return wire.CandidateStateSlow
	default:
		return wire.CandidateStateFree
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// inMillis returns the duration in milliseconds, in hundredths.
func inMillis(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
