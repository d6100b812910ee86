package edge

import (
	"slices"
	"time"

	"goldcreststand.example/core/admit"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
)

// minRetryAfter is the least Retry-After time that can be written.
const minRetryAfter = time.Millisecond

// waitPolicy decides which servers a call accepts, and what it does while it has none.
type waitPolicy interface {
	// Acceptable reports whether a server with the slowdown is good enough.
	Acceptable(c admit.Call, now time.Time, slowdown float64) bool
	// Next returns what a call without an acceptable server does.
	Next(c admit.Call, now time.Time) admit.Step
}

var (
	_ waitPolicy = admit.FixedWait{}
	_ waitPolicy = admit.DeadlineWait{}
)

// admission is the way in which a call waits for a server.
type admission struct {
	queue *callQueue
	// byDeadline reports that the call waits in the queue by its deadline. Without it the call waits for a part of its
	// target latency and only the shares of organisations are kept in the queue.
	byDeadline bool
}

// newAdmission returns the admission of a call that has arrived. Without an estimate of its duration a call cannot wait
// by its deadline.
func (c *call) newAdmission(snap *spread.Snapshot) admission {
	a := admission{queue: c.h.queues.get(c.service), byDeadline: c.waitsByDeadline(snap)}
	if c.auth.caller.Name != "" {
		a.queue.recordArrival(c.auth.caller.Name, c.arrived)
	}
	return a
}

func (c *call) waitsByDeadline(snap *spread.Snapshot) bool {
	return snap.WaitByDeadline && c.h.durations.Recent(c.route.Name, c.arrived) > 0
}

// recordSend counts a call of the organisation that is sent to a server.
func (a admission) recordSend(n ident.TenantName, now time.Time) {
	if n != "" {
		a.queue.recordSend(n, now)
	}
}

// waiting returns what the policies know of the call.
func (c *call) waiting() admit.Call {
	return admit.Call{
		Arrived: c.arrived, Deadline: c.deadline, TargetLatency: c.route.TargetLatency,
		OrganisationPriority: int(c.auth.caller.Priority), RoutePriority: c.route.Priority, Urgent: c.urgent(),
		Work: c.h.durations.Estimate(c.route.Name),
	}
}

// policy returns the policy for the call now.
func (c *call) policy(w admit.Call, now time.Time) waitPolicy {
	if !c.admission.byDeadline {
		return admit.FixedWait{}
	}
	p, _ := c.admission.queue.policy(w, now)
	return p
}

// acceptable reports whether the server is not saturated and fast enough for the call.
func (c *call) acceptable(p *pick) bool {
	if c.full(p) {
		return false
	}
	now, w := c.h.clock.Now(), c.waiting()
	return c.policy(w, now).Acceptable(w, now, p.load.Slowdown())
}

// full reports whether the server is saturated, or may have no room for the call at a service whose servers never answer
// a call that they have no room for.
func (c *call) full(p *pick) bool {
	now := c.h.clock.Now()
	return p.load.Saturated() || c.svc.Silence.Seen(now) && !p.evidence.Room(p.server.State.Sent(), c.route.Kind == rules.KindUnsafe, now)
}

// claim counts the call as sent to the server, and reports whether no other call of this instance has taken the room.
func (c *call) claim(p *pick) bool {
	now := c.h.clock.Now()
	if !c.svc.Silence.Seen(now) {
		p.server.State.RecordSend(now)
		return true
	}
	return p.server.State.RecordSendIfRoom(p.evidence, c.route.Kind == rules.KindUnsafe, now)
}

// exceedsShare reports whether the call is refused because no server is free and its organisation has more than its share.
func (c *call) exceedsShare(p *pick) bool {
	if c.auth.caller.Name == "" || p != nil && !c.full(p) || !c.admission.queue.exceedsShare(c.auth.caller.Name, c.h.clock.Now()) {
		return false
	}
	c.refusal = causeExceedsShare
	return true
}

// retryAfter returns the time after which the caller of a refused call may come back.
func (c *call) retryAfter() time.Duration {
	if !c.admission.byDeadline {
		return retryAfter
	}
	left := c.deadline.Sub(c.h.clock.Now())
	return max(minRetryAfter, c.admission.queue.retryAfter(left, c.h.rng().Float64()))
}

// sampleHint appends the server that is known to have a free slot to the servers to check, and returns the number of
// local servers that remain to be checked.
func (c *call) sampleHint(pool *spread.Pool, seen []*spread.Server, local int, now time.Time) ([]*spread.Server, int) {
	if c.hint == nil {
		return seen, local
	}
	id := c.hint.ID
	c.hint = nil
	named := func(s *spread.Server) bool { return s.ID == id }
	for _, list := range [][]*spread.Server{pool.Local, pool.Remote} {
		i := slices.IndexFunc(list, named)
		if i < 0 || slices.ContainsFunc(seen, named) || list[i].State.InBackoff(now) || !list[i].State.Available(now) {
			continue
		}
		return append(seen, list[i]), max(0, local-1)
	}
	return seen, local
}
