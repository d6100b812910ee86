package edge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"goldcreststand.example/core/spread"
)

const (
	// checkTime bounds the wait for the replies to checks. A round trip between failure domains takes up
	// to 3 ms and a server up to 1 ms.
	checkTime = 20 * time.Millisecond
	// goodCost is the cost up to which a server is taken without further checks: at full speed, with at
	// most half of its slots taken, and without a recent failure.
	goodCost = 1.3
	// farChecks is the number of servers in other failure domains that are checked at a time.
	farChecks = 2
	// farLook is the number of looks after which servers in other failure domains are checked too.
	farLook = 2
	// startChecks is the number of checks that a process that has just started may make at once. Its calls
	// are then the most, and its links all new.
	startChecks = 1000
	// checkBurst is the time for which unused checks are kept.
	checkBurst = 5 * time.Second
	// leavingRest and goneRest are the times for which a server is left alone that says that it leaves,
	// or whose address another server has; the list of servers says so soon after.
	leavingRest = time.Second
	goneRest    = 5 * time.Second
)

// pick is a server that was chosen for a call, on a link that has just proved alive.
type pick struct {
	server  *spread.Server
	link    *link
	reading spread.LoadReport
	cost    float64
}

// checked is a candidate whose check is under way.
type checked struct {
	server *spread.Server
	link   *link
}

// round is a number of servers that are checked at a time.
type round struct {
	near, far int
	// good says that only a server of at most goodCost ends the checks, and not each one that is fast enough
	// for the call.
	good bool
}

// rounds are the checks of the n-th look for a server; each round comes only when those before found none that
// suits. Servers in other failure domains, whose bytes are dear, are checked when a short wait brought no near
// one.
func rounds(n int) []round {
	switch {
	case n == 0:
		return []round{{near: 2, good: true}, {near: 3}}
	case n < farLook:
		return []round{{near: 2}}
	default:
		return []round{{near: 2}, {far: farChecks}}
	}
}

// choose checks some servers of the pool and returns the best, or nil when none can take the call.
func (h *Handler) choose(c *call, pool *spread.Pool, rounds []round) *pick {
	seen := c.skip()
	var best *pick
	for i, r := range rounds {
		now := h.clock.Now()
		known := len(seen)
		seen = pool.Sample(seen, r.near, r.far, now, h.rng())
		if len(seen) == known {
			continue
		}
		// The first round is always made: a call is sent only to a server that has just proved alive.
		if !h.checks.AllowN(now, len(seen)-known) && i > 0 {
			break
		}
		best = h.better(best, h.check(c.svc, seen[known:], c.deadline))
		if best != nil && c.suits(best) && (!r.good || best.cost <= goodCost) {
			break
		}
	}
	if best == nil && rounds[len(rounds)-1].far == 0 {
		// The failure domain may be gone as a whole.
		return h.choose(c, pool, []round{{far: farChecks}})
	}
	return best
}

// check checks the servers and returns the best that can take the call. Links that must be made first are
// waited for only when there are no others.
func (h *Handler) check(svc *spread.Service, cands []*spread.Server, deadline time.Time) *pick {
	dialed := make(chan *link, len(cands))
	under := make([]checked, 0, len(cands))
	dials := 0
	until := h.clock.Now().Add(checkTime)
	for _, s := range cands {
		if l := h.sendCheck(svc, s, until); l != nil {
			under = append(under, checked{s, l})
		} else if h.links.reserve(s) {
			dials++
			go h.dial(s, dialed)
		}
	}
	if best := h.collect(under); best != nil {
		if dials > 0 {
			// The links that are being dialled serve the next calls.
			go h.shelve(dialed, dials)
		}
		return best
	}
	return h.await(svc, dialed, dials, deadline)
}

// sendCheck writes a check on an idle link of the server, or returns nil when there is none that takes it.
func (h *Handler) sendCheck(svc *spread.Service, s *spread.Server, until time.Time) *link {
	s.State.BackOffIfUnresponsive(until)
	for {
		l := h.links.take(s)
		if l == nil || h.writeCheck(svc, l, until) {
			return l
		}
	}
}

// writeCheck writes a check on the link, and drops a link that does not take it.
func (h *Handler) writeCheck(svc *spread.Service, l *link, until time.Time) bool {
	if err := l.sendCheck(svc.Rules.HealthPath, until); err != nil {
		h.links.drop(l)
		return false
	}
	h.metrics.Checks.Add(1)
	return true
}

// collect reads the replies and returns the best server.
func (h *Handler) collect(under []checked) *pick {
	var best *pick
	for _, c := range under {
		best = h.better(best, h.readCheck(c))
	}
	return best
}

// better keeps the better of two picks and takes back the link of the other.
func (h *Handler) better(a, b *pick) *pick {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.cost < a.cost:
		h.links.put(a.link)
		return b
	default:
		h.links.put(b.link)
		return a
	}
}

// readCheck reads the reply to one check. It returns nil when the server cannot take the call.
func (h *Handler) readCheck(c checked) *pick {
	r, err := c.link.readCheck(h.dialect)
	now := h.clock.Now()
	m := c.server.State
	if err != nil {
		h.links.drop(c.link)
		if silent(err) {
			m.RecordNoReply(now)
			h.metrics.Missed.Add(1)
		}
		return nil
	}
	if r.loaded {
		m.RecordReply(now, r.reading)
	}
	switch {
	case r.server != "" && r.server != c.server.ID:
		h.links.drop(c.link)
		m.BackOff(now, goneRest)
		return nil
	case r.status != http.StatusOK:
		h.links.put(c.link)
		m.BackOff(now, leavingRest)
		return nil
	case c.link.spent:
		h.links.drop(c.link)
		return nil
	}
	if !r.loaded {
		r.reading.Slots = c.server.Slots
	}
	if r.reading.ColdFor > 0 && !m.AllowColdCall(now, c.server.ColdInterval) {
		h.links.put(c.link)
		return nil
	}
	return &pick{server: c.server, link: c.link, reading: r.reading, cost: c.server.Cost(r.reading, now)}
}

// dial makes a link and hands it over.
func (h *Handler) dial(s *spread.Server, out chan<- *link) {
	l, err := h.links.dial(s)
	if err != nil {
		s.State.RecordNoReply(h.clock.Now())
		h.metrics.DialFailures.Add(1)
		out <- nil
		return
	}
	h.metrics.Dials.Add(1)
	out <- l
}

// await takes the first server whose link is made and that takes the call.
func (h *Handler) await(svc *spread.Service, dialed <-chan *link, dials int, deadline time.Time) *pick {
	timeout := h.clock.NewTimer(deadline.Sub(h.clock.Now()))
	defer timeout.Stop()
	for ; dials > 0; dials-- {
		select {
		case l := <-dialed:
			if l == nil {
				continue
			}
			if p := h.checkNew(svc, l); p != nil {
				if dials > 1 {
					go h.shelve(dialed, dials-1)
				}
				return p
			}
		case <-timeout.Chan():
			go h.shelve(dialed, dials)
			return nil
		}
	}
	return nil
}

// checkNew checks a server on a link that was just made.
func (h *Handler) checkNew(svc *spread.Service, l *link) *pick {
	if !h.writeCheck(svc, l, h.clock.Now().Add(checkTime)) {
		return nil
	}
	return h.readCheck(checked{l.server, l})
}

// shelve keeps the links that are being made.
func (h *Handler) shelve(dialed <-chan *link, n int) {
	for range n {
		if l := <-dialed; l != nil {
			h.links.put(l)
		}
	}
}

// rng returns a source of random numbers for the calling goroutine.
func (h *Handler) rng() *rand.Rand { return rand.New(rand.NewPCG(h.seed, h.calls.Add(1))) }
