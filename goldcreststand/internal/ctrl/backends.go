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

// ProbeBudget is the load measurement budget of one backend server, shared by all instances.
type ProbeBudget struct {
	// Rate is in probes per second.
	Rate float64
	// Bytes is in bytes per second.
	Bytes ident.Bytes
}

// backends is the control state of a service's backend servers and its version rollout.
type backends struct {
	self        ident.InstanceID
	tracker     *health.Tracker
	rollout     *canary.Rollout
	planner     *probe.Planner
	lastPlanned time.Time
	// table, serverList and serving are the inputs from which the tracker's holders were last set.
	table      *table.Table
	serverList *roster.ServerList
	serving    []place.Instance
}

func newBackends(st *state, n ident.ServiceName) *backends {
	b := &backends{self: st.self.ID, rollout: canary.NewRollout(n, st.self.ID, st.now)}
	b.resetHealth(st, n)
	return b
}

// resetHealth discards the health and probe state of the servers, which becomes outdated while the instance
// does not serve the service.
func (b *backends) resetHealth(st *state, n ident.ServiceName) {
	// The seed differs between instances to keep them from ending their ejections at the same time.
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(st.self.ID) + "/" + string(n)))
	b.tracker = health.New(n, st.self.ID, rand.New(rand.NewPCG(h.Sum64(), st.self.Seed)))
	b.planner = probe.New(st.self.Probe.Rate, st.self.Probe.Bytes, health.DefaultWarmupDelay)
	b.table, b.serverList, b.serving = nil, nil, nil
}

// updateHolders updates the instances that hold slots at each server. It is called for every snapshot, after
// shares.update.
func (b *backends) updateHolders(s *service, now time.Time) {
	if b.table == s.table && b.serverList == s.serverList && slices.Equal(b.serving, s.shares.serving) {
		return
	}
	b.table, b.serverList, b.serving = s.table, s.serverList, s.shares.serving
	b.tracker.SetHolders(s.shares.holders, now)
}

// holders returns the instances that hold slots at the server. The first one is its owner by limit.Owner,
// which warms the server up.
func (sh *shares) holders(id ident.ServerID) []ident.InstanceID {
	return limit.Holders(sh.plan, sh.serving, id)
}

// applyHealthLimit lowers the server's share to the limit of its health status, sets its availability and reports
// whether the server accepts calls.
func (b *backends) applyHealthLimit(srv *route.Server, now time.Time) bool {
	status := b.tracker.Status(srv.ID, now)
	srv.MaxInflight = min(srv.MaxInflight, status.Limit)
	srv.Availability = status.Availability
	return srv.MaxInflight > 0
}

// versionWeight returns the weight of a version from its table row and the rollout. From the first rollout
// on, only the two versions of the last rollout get calls while either has servers that may serve, because
// the servers of a new version start before its rollout does. Before the first rollout, a table with version
// rows excludes all versions that have no row.
func (s *service) versionWeight(v ident.VersionName) ident.Weight {
	row := route.VersionWeight(s.table, v)
	share := ident.FullShare
	if to, ok := s.backends.rollout.Share(); ok {
		spec := s.backends.rollout.Spec()
		switch {
		case v == spec.To:
			share = to
		case v == spec.From:
			share -= to
		case s.hasServingServer(spec.From) || to > 0 && s.hasServingServer(spec.To):
			share = 0
		}
	} else if _, named := s.table.Find(table.KindVersion, string(v)); !named && s.hasVersionRow() {
		share = 0
	}
	// Shares are in per mille. Without a rollout, weights keep the proportions of the rows.
	return ident.Weight(uint64(row) * uint64(share) / uint64(route.DefaultWeight))
}

// keepOldVersion adds the old version of a rollout when it has listed servers but none of them accepts calls
// now. The calls of its share then wait or are rejected; without it the new version would get all calls
// regardless of its share.
func (s *service) keepOldVersion(out *route.Service) {
	spec := s.backends.rollout.Spec()
	if spec == nil {
		return
	}
	if w := s.versionWeight(spec.From); w > 0 && out.Version(spec.From) == nil && s.hasServingServer(spec.From) {
		out.Versions = append(out.Versions, route.VersionPool{Name: spec.From, Weight: w})
	}
}

// hasServingServer reports whether a listed server of the version is not draining.
func (s *service) hasServingServer(v ident.VersionName) bool {
	return slices.ContainsFunc(s.serverList.Servers, func(b roster.Server) bool { return b.Version == v && !b.Draining })
}

// hasVersionRow reports whether the table has a row for a version.
func (s *service) hasVersionRow() bool {
	return slices.ContainsFunc(s.table.Rows, func(r table.Row) bool { return r.Kind == table.KindVersion })
}

// rolloutCapacity sums the slots and calls in flight that this instance has at the servers of the rollout's
// two versions.
func (s *service) rolloutCapacity(now time.Time) canary.Capacity {
	var out canary.Capacity
	spec := s.backends.rollout.Spec()
	if spec == nil || s.serverList == nil {
		return out
	}
	for _, b := range s.serverList.Servers {
		if l, ok := s.loads[b.ID]; ok {
			out.Inflight += l.Inflight()
		}
		if b.Draining {
			continue
		}
		n := min(s.shares.tracker.Share(b.ID), s.backends.tracker.Status(b.ID, now).Limit)
		switch b.Version {
		case spec.From:
			out.OldSlots += n
			out.HasOldServers = true
		case spec.To:
			out.NewSlots += n
			out.NewServers++
		}
	}
	return out
}
