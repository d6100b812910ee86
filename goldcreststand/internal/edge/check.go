package edge

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/lib/header"
)

const (
	// checkTimeout is the timeout of a status check. A round trip between failure domains takes up to 3 ms, and the
	// server up to 1 ms.
	checkTimeout = 20 * time.Millisecond
	// lowCost is the maximum cost of a server that is picked without further checks: one at full speed, with at most
	// half of its slots in use and without a recent failure.
	lowCost = 1.3
	// remoteChecks is the number of servers in other failure domains that are checked in one round.
	remoteChecks = 2
	// localOnlyAttempts is the number of attempts after which servers in other failure domains are checked too.
	localOnlyAttempts = 2
	// initialCheckBurst is the burst of checks after the start, when calls are most frequent and all connections are
	// new.
	initialCheckBurst = 1000
	// checkBurstTime is the time over which unused checks accumulate.
	checkBurstTime = 5 * time.Second
	// drainingBackoff is the backoff of a server that reports that it drains, misdirectedBackoff that of a server
	// whose address belongs to another server. The server list is updated soon after either.
	drainingBackoff    = time.Second
	misdirectedBackoff = 5 * time.Second
)

// pick is a server that was picked for a call, with a connection on which it has just replied to a check.
type pick struct {
	server *spread.Server
	conn   *conn
	load   spread.LoadReport
	cost   float64
	// evidence is what the check tells about the server's load.
	evidence spread.Evidence
}

// pendingCheck is a check that was sent and has no reply yet.
type pendingCheck struct {
	server *spread.Server
	conn   *conn
	// sentBefore is the number of calls that have certainly arrived at the server before the check.
	sentBefore int64
}

// checkRound is the number of local and remote servers that are checked concurrently.
type checkRound struct {
	local, remote int
	// lowCost reports that further rounds are skipped only for a server with a low cost, not for every acceptable one.
	lowCost bool
}

// checkRounds returns the rounds of checks of an attempt to pick a server, counted from 0. A round runs only if the
// earlier ones found no acceptable server. Traffic between failure domains is expensive, so remote servers are checked
// only after localOnlyAttempts.
func checkRounds(attempt int) []checkRound {
	switch {
	case attempt == 0:
		return []checkRound{{local: 2, lowCost: true}, {local: 3}}
	case attempt < localOnlyAttempts:
		return []checkRound{{local: 2}}
	default:
		return []checkRound{{local: 2}, {remote: remoteChecks}}
	}
}

// checker asks servers for their load before a call is sent to one of them.
type checker interface {
	// checkServers returns the server with the lowest cost, or nil if none can take the call. It is released if it is not
	// used.
	checkServers(svc *spread.Service, servers []*spread.Server, deadline time.Time) *pick
	release(p *pick)
	// replied reports whether the server has replied since the time.
	replied(s *spread.Server, since time.Time) bool
}

var _ checker = (*Handler)(nil)

// pickServer checks some servers of the pool and returns the one with the lowest cost, or nil if none can take the
// call.
func (h *Handler) pickServer(c *call, pool *spread.Pool, rounds []checkRound) *pick {
	best := h.pickInRounds(c, pool, rounds, pool.Sample)
	if best == nil && rounds[len(rounds)-1].remote == 0 {
		// The whole failure domain may be down.
		return h.pickServer(c, pool, []checkRound{{remote: remoteChecks}})
	}
	return best
}

// sampler appends random servers of this instance's failure domain and of others to those that were checked.
type sampler func(seen []*spread.Server, local, remote int, now time.Time, rng *rand.Rand) []*spread.Server

// pickInRounds checks some servers of the pool and returns the one with the lowest cost, or nil if none replied.
func (h *Handler) pickInRounds(c *call, pool *spread.Pool, rounds []checkRound, sample sampler) *pick {
	seen := c.triedServers()
	var best *pick
	for i, r := range rounds {
		now := h.clock.Now()
		known := len(seen)
		seen, r.local = c.sampleHint(pool, seen, r.local, now)
		seen = sample(seen, r.local, r.remote, now, h.rng())
		if len(seen) == known {
			continue
		}
		// The first round ignores the rate limit, because a call is sent only to a server that has just replied.
		if !h.checks.AllowN(now, len(seen)-known) && i > 0 {
			break
		}
		best = keepCheaper(h.checker, best, h.checker.checkServers(c.svc, seen[known:], c.deadline))
		if best != nil && c.acceptable(best) && (!r.lowCost || best.cost <= lowCost) {
			break
		}
	}
	return best
}

// checkServers checks the servers and returns the one with the lowest cost. It waits for new connections only if no
// server with an idle connection can take the call.
func (h *Handler) checkServers(svc *spread.Service, servers []*spread.Server, deadline time.Time) *pick {
	dialed := make(chan *conn, len(servers))
	pending := make([]pendingCheck, 0, len(servers))
	dials := 0
	until := h.clock.Now().Add(checkTimeout)
	for _, s := range servers {
		sent := s.State.SentBefore(h.clock.Now())
		if c := h.sendCheck(svc, s, until); c != nil {
			pending = append(pending, pendingCheck{s, c, sent})
		} else if h.conns.reserve(s) {
			dials++
			go h.dial(s, dialed)
		}
	}
	if best := h.readReplies(svc, pending); best != nil {
		if dials > 0 {
			// Later calls use the connections that are being dialed.
			go h.keepConns(dialed, dials)
		}
		return best
	}
	return h.awaitConn(svc, dialed, dials, deadline)
}

// sendCheck writes a check to an idle connection of the server and returns it. It returns nil if there is none.
func (h *Handler) sendCheck(svc *spread.Service, s *spread.Server, until time.Time) *conn {
	s.State.BackOffIfUnresponsive(until)
	for {
		c := h.conns.take(s)
		if c == nil || h.writeCheck(svc, c, until) {
			return c
		}
	}
}

// writeCheck writes a check to the connection and reports whether it succeeded. It closes the connection on failure.
func (h *Handler) writeCheck(svc *spread.Service, c *conn, until time.Time) bool {
	if err := c.sendCheck(svc.Rules.HealthPath, until); err != nil {
		h.conns.drop(c)
		return false
	}
	h.metrics.Checks.Add(1)
	return true
}

// readReplies reads the replies to the checks and returns the server with the lowest cost.
func (h *Handler) readReplies(svc *spread.Service, pending []pendingCheck) *pick {
	var best *pick
	for _, c := range pending {
		best = keepCheaper(h, best, h.readCheck(svc, c))
	}
	return best
}

// release makes the connection of a pick that is not used available to other calls.
func (h *Handler) release(p *pick) { h.conns.put(p.conn) }

// replied reports whether the server has reported its load since the time.
func (h *Handler) replied(s *spread.Server, since time.Time) bool {
	r, ok := s.State.LastReport()
	return ok && !r.At.Before(since)
}

// keepCheaper returns the pick with the lower cost and releases the other.
func keepCheaper(by checker, a, b *pick) *pick {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.cost < a.cost:
		by.release(a)
		return b
	default:
		by.release(b)
		return a
	}
}

// readCheck reads the reply to a check. It returns nil if the server cannot take the call.
func (h *Handler) readCheck(svc *spread.Service, c pendingCheck) *pick {
	r, err := c.conn.readCheck(h.dialect)
	now := h.clock.Now()
	st := c.server.State
	if err != nil {
		h.conns.drop(c.conn)
		h.recordMissedCheck(svc, st, err, now)
		return nil
	}
	if r.hasLoad && st.RecordReply(now, r.load) {
		svc.Silence.Record(st, now)
	}
	h.crossings.report(svc, c.server, r, now)
	if r.server != "" && r.server != c.server.ID {
		h.conns.drop(c.conn)
		st.BackOff(now, misdirectedBackoff)
		return nil
	}
	h.recordNotice(c.server, r.notice, now)
	switch {
	case !st.Available(now):
		h.conns.put(c.conn)
		return nil
	case r.status != http.StatusOK:
		h.conns.put(c.conn)
		st.BackOff(now, drainingBackoff)
		return nil
	case c.conn.unusable:
		h.conns.drop(c.conn)
		return nil
	}
	if !r.hasLoad {
		r.load.Slots = c.server.Slots
	}
	if r.load.ColdFor > 0 && !st.AllowColdCall(now, c.server.ColdInterval) {
		h.conns.put(c.conn)
		return nil
	}
	return &pick{
		server: c.server, conn: c.conn, load: r.load, cost: c.server.Cost(r.load, now),
		evidence: spread.Evidence{Load: r.load, Known: r.hasLoad, At: now, SentBefore: c.sentBefore},
	}
}

// recordMissedCheck records a check that failed. A closed connection says nothing about the server.
func (h *Handler) recordMissedCheck(svc *spread.Service, st *spread.ServerState, err error, now time.Time) {
	switch {
	case isTimeout(err) && svc.Silence != nil:
		if st.RecordSilentCheck(now) {
			h.metrics.FullChecks.Add(1)
		}
	case isTimeout(err), errors.Is(err, errResponseTooLarge), header.ErrInvalidHead.Has(err):
		st.RecordNoReply(now)
	default:
		return
	}
	h.metrics.MissedChecks.Add(1)
}

// recordNotice records and logs what a server said about its availability.
func (h *Handler) recordNotice(s *spread.Server, n notice.Notice, now time.Time) {
	if n == (notice.Notice{}) {
		return
	}
	before := s.State.Available(now)
	s.State.RecordNotice(now, n)
	if !before {
		return
	}
	h.metrics.Notices.Add(1)
	h.log.Failure("server asked for no calls", logrus.Fields{
		"server": s.ID, "version": s.Version, "leaving": n.Leaving, "pause": n.Pause.Milliseconds(),
	})
}

// dial opens a connection and sends it to out, or nil on failure.
func (h *Handler) dial(s *spread.Server, out chan<- *conn) {
	c, err := h.conns.dial(s)
	if err != nil {
		s.State.RecordNoReply(h.clock.Now())
		h.metrics.DialFailures.Add(1)
		out <- nil
		return
	}
	h.metrics.Dials.Add(1)
	out <- c
}

// awaitConn returns the first server whose connection opens and that can take the call.
func (h *Handler) awaitConn(svc *spread.Service, dialed <-chan *conn, dials int, deadline time.Time) *pick {
	timeout := h.clock.NewTimer(deadline.Sub(h.clock.Now()))
	defer timeout.Stop()
	for ; dials > 0; dials-- {
		select {
		case c := <-dialed:
			if c == nil {
				continue
			}
			if p := h.checkNewConn(svc, c); p != nil {
				if dials > 1 {
					go h.keepConns(dialed, dials-1)
				}
				return p
			}
		case <-timeout.Chan():
			go h.keepConns(dialed, dials)
			return nil
		}
	}
	return nil
}

// checkNewConn checks a server on a new connection.
func (h *Handler) checkNewConn(svc *spread.Service, c *conn) *pick {
	now := h.clock.Now()
	sent := c.server.State.SentBefore(now)
	if !h.writeCheck(svc, c, now.Add(checkTimeout)) {
		return nil
	}
	return h.readCheck(svc, pendingCheck{c.server, c, sent})
}

// keepConns adds n connections that are being dialed to the idle ones.
func (h *Handler) keepConns(dialed <-chan *conn, n int) {
	for range n {
		if c := <-dialed; c != nil {
			h.conns.put(c)
		}
	}
}

// rng returns a source of random numbers for the calling goroutine.
func (h *Handler) rng() *rand.Rand { return rand.New(rand.NewPCG(h.seed, h.calls.Add(1))) }
