package ctrl

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// shares is the control state for the division of a service's slots between the instances.
type shares struct {
	splitter limit.Splitter
	ledger   *limit.ShareTracker
	// serving are the instances that serve the service, in placement order.
	serving []place.Instance
	// since is the boot-time clock's reading from which on an instance has been serving.
	since map[ident.InstanceID]time.Duration
	// plan follows from serving, table and listing.
	plan    map[ident.InstanceID]limit.Shares
	table   *table.Table
	listing *roster.ServerList
}

func newShares() *shares {
	return &shares{splitter: limit.LocalFirstSplitter{}, ledger: limit.NewShareTracker(), since: make(map[ident.InstanceID]time.Duration)}
}

// update brings the plan and the shares in force up to date. It is called for every snapshot.
func (sh *shares) update(now time.Duration, self ident.InstanceID, s *service, serving []place.Instance) {
	if sh.plan == nil || sh.table != s.table || sh.listing != s.listing || !slices.Equal(sh.serving, serving) {
		sh.replan(now, s, serving)
	}
	sh.ledger.Observe(now, sh.plan[self])
}

// assumeReady takes the other serving instances as ready. It is called before the first plan of an
// instance that has been running for longer than ShareIncreaseDelay: it takes the place of one that failed, and
// calls that it passes on are served, while calls that it keeps would wait for its own slots.
func (sh *shares) assumeReady(now time.Duration, self ident.InstanceID, serving []place.Instance) {
	for _, n := range serving {
		if n.ID != self {
			sh.since[n.ID] = now - limit.ShareIncreaseDelay
		}
	}
}

func (sh *shares) replan(now time.Duration, s *service, serving []place.Instance) {
	sh.table, sh.listing, sh.serving = s.table, s.listing, serving
	var servers []roster.Server
	if s.listing != nil {
		servers = s.listing.Servers
	}
	sh.plan = sh.splitter.Split(s.table.Service, limit.Caps(s.table, servers), serving)
	maps.DeleteFunc(sh.since, func(id ident.InstanceID, _ time.Duration) bool { return !contains(serving, id) })
	s.prune(servers)
	for _, n := range serving {
		if _, ok := sh.since[n.ID]; !ok {
			sh.since[n.ID] = now
		}
	}
}

// prune drops the loads of servers that are listed no more and have no calls in flight.
func (s *service) prune(servers []roster.Server) {
	maps.DeleteFunc(s.loads, func(id ident.ServerID, l *route.ServerLoad) bool {
		return l.Inflight() == 0 && !slices.ContainsFunc(servers, func(b roster.Server) bool { return b.ID == id })
	})
}

// ready returns the serving instances that have shares in force as far as this one knows, or all of
// them when there is none. An instance that has just joined, or that goes on after a pause, would let
// calls wait for ShareIncreaseDelay.
func (sh *shares) ready(now time.Duration, self ident.InstanceID) []place.Instance {
	var out []place.Instance
	for _, n := range sh.serving {
		if now-sh.since[n.ID] < limit.ShareIncreaseDelay || len(sh.plan[n.ID]) == 0 {
			continue
		}
		if n.ID != self || !sh.joining(self) {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return sh.serving
	}
	return out
}

// joining reports whether the instance has slots due and none in force yet.
func (sh *shares) joining(self ident.InstanceID) bool {
	due := sh.plan[self]
	for id := range due {
		if sh.ledger.Share(id) > 0 {
			return false
		}
	}
	return len(due) > 0
}

func contains(nodes []place.Instance, id ident.InstanceID) bool {
	return slices.ContainsFunc(nodes, func(n place.Instance) bool { return n.ID == id })
}

// entries returns the traffic addresses of the nodes.
func (st *state) entries(nodes []place.Instance) []netip.AddrPort {
	out := make([]netip.AddrPort, len(nodes))
	for i, n := range nodes {
		out[i] = st.addresses[n.ID]
	}
	return out
}
