package ctrl

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/probe"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// ProbeBudget is the budget of load measurement per backend server over all instances.
type ProbeBudget struct {
	// Rate is in probes per second.
	Rate float64
	// Bytes is in bytes per second.
	Bytes ident.Bytes
}

// backends is the control state about a service's backend servers and its version rollout.
type backends struct {
	self    ident.InstanceID
	tracker *health.Tracker
	rollout *canary.Rollout
	planner *probe.Planner
	planned time.Time
	// table, listing and serving are what the tracker's holders were set from.
	table   *table.Table
	listing *roster.ServerList
	serving []place.Instance
}

func newBackends(st *state, n ident.ServiceName) *backends {
	c := &backends{self: st.self.ID, rollout: canary.NewRollout(n, st.self.ID, st.now)}
	c.forget(st, n)
	return c
}

// forget drops what is known of the servers, because it grows old while the instance does not serve the
// service.
func (c *backends) forget(st *state, n ident.ServiceName) {
	// The seed differs between instances, so that their ejections do not end in step.
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(st.self.ID) + "/" + string(n)))
	c.tracker = health.New(n, st.self.ID, rand.New(rand.NewPCG(h.Sum64(), st.self.Seed)))
	c.planner = probe.New(st.self.Probe.Rate, st.self.Probe.Bytes, health.DefaultWarmupDelay)
	c.table, c.listing, c.serving = nil, nil, nil
}

// follow brings the holders of the servers' slots up to date. It is called for every snapshot, after the
// shares.
func (c *backends) follow(s *service, now time.Time) {
	if c.table == s.table && c.listing == s.listing && slices.Equal(c.serving, s.shares.serving) {
		return
	}
	c.table, c.listing, c.serving = s.table, s.listing, s.shares.serving
	c.tracker.SetHolders(s.shares.holders, now)
}

// holders returns the instances with slots at the server. The first one is the owner by limit.Owner, which
// warms the server up.
func (sh *shares) holders(id ident.ServerID) []ident.InstanceID {
	return limit.Holders(sh.plan, sh.serving, id)
}

// admit lowers the server's share to its verdict and reports whether it takes work.
func (c *backends) admit(srv *route.Server, now time.Time) bool {
	srv.MaxInflight = min(srv.MaxInflight, c.tracker.Status(srv.ID, now).Limit)
	return srv.MaxInflight > 0
}

// weight returns the weight of a version from its row and the rollout. Once there has been a rollout, only
// its two versions take calls while servers of them may serve, because the servers of a version start before
// its rollout does. Before the first one, a table that names versions keeps calls from all others.
func (s *service) weight(v ident.VersionName) ident.Weight {
	row := route.VersionWeight(s.table, v)
	share := ident.FullShare
	if to, ok := s.backends.rollout.Share(); ok {
		m := s.backends.rollout.Spec()
		switch {
		case v == m.To:
			share = to
		case v == m.From:
			share -= to
		case s.serves(m.From) || to > 0 && s.serves(m.To):
			share = 0
		}
	} else if _, named := s.table.Find(table.KindVersion, string(v)); !named && s.namesVersion() {
		share = 0
	}
	// Shares are in per mille; rows without a rollout keep their proportions.
	return ident.Weight(uint64(row) * uint64(share) / uint64(route.DefaultWeight))
}

// keepOld adds the old version of a rollout when it has listed servers but none that takes work now. Its calls
// wait or are rejected; otherwise the new version would get them all, whatever its share is.
func (s *service) keepOld(out *route.Service) {
	m := s.backends.rollout.Spec()
	if m == nil {
		return
	}
	if w := s.weight(m.From); w > 0 && out.Version(m.From) == nil && s.serves(m.From) {
		out.Versions = append(out.Versions, route.VersionPool{Name: m.From, Weight: w})
	}
}

// serves reports whether the version has a listed server that is not leaving.
func (s *service) serves(v ident.VersionName) bool {
	return slices.ContainsFunc(s.listing.Servers, func(b roster.Server) bool { return b.Version == v && !b.Draining })
}

// namesVersion reports whether the table has a row of a version.
func (s *service) namesVersion() bool {
	return slices.ContainsFunc(s.table.Rows, func(r table.Row) bool { return r.Kind == table.KindVersion })
}

// capacity sums up what the servers of both versions of the rollout can take at this instance.
func (s *service) capacity(now time.Time) canary.Capacity {
	var out canary.Capacity
	m := s.backends.rollout.Spec()
	if m == nil || s.listing == nil {
		return out
	}
	for _, b := range s.listing.Servers {
		if l, ok := s.loads[b.ID]; ok {
			out.Inflight += l.Inflight()
		}
		if b.Draining {
			continue
		}
		n := min(s.shares.ledger.Share(b.ID), s.backends.tracker.Status(b.ID, now).Limit)
		switch b.Version {
		case m.From:
			out.OldSlots += n
			out.HasOldServers = true
		case m.To:
			out.NewSlots += n
			out.NewServers++
		}
	}
	return out
}
