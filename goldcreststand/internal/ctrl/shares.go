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

// shares is the control state for dividing a service's slots between the instances.
type shares struct {
	splitter limit.Splitter
	tracker  *limit.ShareTracker
	// serving holds the instances that serve the service, in placement order.
	serving []place.Instance
	// servingSince is the time on the elapsed clock since which each instance has been serving.
	servingSince map[ident.InstanceID]time.Duration
	// plan is computed from serving, table and serverList.
	plan       map[ident.InstanceID]limit.Shares
	table      *table.Table
	serverList *roster.ServerList
}

func newShares() *shares {
	return &shares{splitter: limit.LocalFirstSplitter{}, tracker: limit.NewShareTracker(), servingSince: make(map[ident.InstanceID]time.Duration)}
}

// update recomputes the plan if its inputs changed and updates the shares in force. It is called for every
// snapshot.
func (sh *shares) update(now time.Duration, self ident.InstanceID, s *service, serving []place.Instance) {
	if sh.plan == nil || sh.table != s.table || sh.serverList != s.serverList || !slices.Equal(sh.serving, serving) {
		sh.replan(now, s, serving)
	}
	sh.tracker.Observe(now, sh.plan[self])
}

// assumeReady treats the other serving instances as ready. It is called before the first plan of an instance
// that has been running for longer than ShareIncreaseDelay. Such an instance replaces a failed one: calls
// that it forwards are served, while calls that it keeps would wait for its own slots.
func (sh *shares) assumeReady(now time.Duration, self ident.InstanceID, serving []place.Instance) {
	for _, inst := range serving {
		if inst.ID != self {
			sh.servingSince[inst.ID] = now - limit.ShareIncreaseDelay
		}
	}
}

func (sh *shares) replan(now time.Duration, s *service, serving []place.Instance) {
	sh.table, sh.serverList, sh.serving = s.table, s.serverList, serving
	var servers []roster.Server
	if s.serverList != nil {
		servers = s.serverList.Servers
	}
	sh.plan = sh.splitter.Split(s.table.Service, limit.Caps(s.table, servers), serving)
	maps.DeleteFunc(sh.servingSince, func(id ident.InstanceID, _ time.Duration) bool { return !containsInstance(serving, id) })
	s.pruneLoads(servers)
	for _, inst := range serving {
		if _, ok := sh.servingSince[inst.ID]; !ok {
			sh.servingSince[inst.ID] = now
		}
	}
}

// pruneLoads drops the loads of servers that are no longer listed and have no calls in flight.
func (s *service) pruneLoads(servers []roster.Server) {
	maps.DeleteFunc(s.loads, func(id ident.ServerID, l *route.ServerLoad) bool {
		return l.Inflight() == 0 && !slices.ContainsFunc(servers, func(b roster.Server) bool { return b.ID == id })
	})
}

// readyInstances returns the serving instances whose shares are in force as far as this instance knows, or
// all of them when there is none. Instances that have just joined or resumed after a pause are left out,
// because calls would wait there for ShareIncreaseDelay.
func (sh *shares) readyInstances(now time.Duration, self ident.InstanceID) []place.Instance {
	var out []place.Instance
	for _, inst := range sh.serving {
		if now-sh.servingSince[inst.ID] < limit.ShareIncreaseDelay || len(sh.plan[inst.ID]) == 0 {
			continue
		}
		if inst.ID != self || !sh.awaitingSlots(self) {
			out = append(out, inst)
		}
	}
	if len(out) == 0 {
		return sh.serving
	}
	return out
}

// awaitingSlots reports whether the instance has planned slots but none in force yet.
func (sh *shares) awaitingSlots(self ident.InstanceID) bool {
	planned := sh.plan[self]
	for id := range planned {
		if sh.tracker.Share(id) > 0 {
			return false
		}
	}
	return len(planned) > 0
}

func containsInstance(instances []place.Instance, id ident.InstanceID) bool {
	return slices.ContainsFunc(instances, func(inst place.Instance) bool { return inst.ID == id })
}

// trafficAddresses returns the traffic addresses of the instances.
func (st *state) trafficAddresses(instances []place.Instance) []netip.AddrPort {
	out := make([]netip.AddrPort, len(instances))
	for i, inst := range instances {
		out[i] = st.addresses[inst.ID]
	}
	return out
}
