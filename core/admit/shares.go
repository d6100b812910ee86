package admit

import (
	"math"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// shareMemory is the time in which a counted call falls to 37 %. A small instance gets some five calls a second, so a
	// shorter time would hold too few to compare.
	shareMemory = 10 * time.Second
	// shareSlack is the number of calls by which an organisation may exceed its share. It keeps one that made a single
	// call from being refused.
	shareSlack = 1
	// forgottenUse is the decayed number of calls below which an organisation is no longer active.
	forgottenUse = 0.05
	// maxOrganisations bounds the number of organisations that are counted.
	maxOrganisations = 1024
)

// Shares counts the recent calls of each organisation to one service at this instance. Every instance sees a part of each
// organisation's calls, so that equal treatment at each one leads to equal treatment by all. It is not safe for
// concurrent use.
type Shares struct {
	uses map[ident.TenantName]*use
}

// use is the recent use of a service by an organisation, decayed to the time at.
type use struct {
	arrived, sent float64
	at            time.Time
}

// decay lets the counts decay until now.
func (u *use) decay(now time.Time) {
	if d := now.Sub(u.at); d > 0 {
		f := math.Exp(-float64(d) / float64(shareMemory))
		u.arrived, u.sent, u.at = u.arrived*f, u.sent*f, now
	}
}

// Clone returns a copy, whose changes do not affect s.
func (s *Shares) Clone() Shares {
	out := Shares{uses: make(map[ident.TenantName]*use, len(s.uses))}
	for n, u := range s.uses {
		copied := *u
		out.uses[n] = &copied
	}
	return out
}

// Arrive counts a call that has arrived. The empty name is not counted.
func (s *Shares) Arrive(n ident.TenantName, now time.Time) {
	if u := s.use(n, now); u != nil {
		u.arrived++
	}
}

// Send counts a call that is sent to a server.
func (s *Shares) Send(n ident.TenantName, now time.Time) {
	if u := s.use(n, now); u != nil {
		u.sent++
	}
}

// use returns the decayed counts of the organisation, or nil if it is not counted.
func (s *Shares) use(n ident.TenantName, now time.Time) *use {
	if n == "" {
		return nil
	}
	u, ok := s.uses[n]
	switch {
	case ok:
		u.decay(now)
		return u
	case s.uses == nil:
		s.uses = make(map[ident.TenantName]*use)
	case len(s.uses) >= maxOrganisations:
		return nil
	}
	u = &use{at: now}
	s.uses[n] = u
	return u
}

// Exceeds reports whether more calls of the organisation were sent to servers than its share of all that were sent: an
// equal share of those of the active organisations, or what they ask for if that is less. While servers are saturated,
// such an organisation is refused first.
func (s *Shares) Exceeds(n ident.TenantName, now time.Time) bool {
	own, ok := s.uses[n]
	if !ok {
		return false
	}
	sent := 0.0
	asked := make([]float64, 0, len(s.uses))
	for name, u := range s.uses {
		u.decay(now)
		if u.arrived < forgottenUse {
			delete(s.uses, name)
			continue
		}
		sent += u.sent
		asked = append(asked, u.arrived)
	}
	return own.sent > equalShare(asked, sent)+shareSlack
}

// equalShare returns the share of the total that each gets who asks for at least as much, when those who ask for less get
// what they ask for.
func equalShare(asked []float64, total float64) float64 {
	slices.Sort(asked)
	for i, a := range asked {
		share := total / float64(len(asked)-i)
		if a >= share {
			return share
		}
		total -= a
	}
	return math.Inf(1)
}
