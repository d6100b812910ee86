package ctrl

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/member"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Self describes this instance and configures its control state.
type Self struct {
	ID      ident.InstanceID
	Domain  ident.DomainName
	Traffic netip.AddrPort
	// Region, Peer and Start, the time at which the process started, are published to other instances.
	Region ident.RegionName
	Peer   netip.AddrPort
	Start  time.Time
	// Member configures the membership.
	Member member.Config
	// InstancesPerService is the number of instances that serve each service.
	InstancesPerService int
	// Probe is the load measurement budget per backend server.
	Probe ProbeBudget
	// Dist configures the distribution of tables, server lists and rollout statuses.
	Dist dist.Config
	// Seed seeds random choices.
	Seed uint64
}

// joinTimeout is how long after its start an instance counts as joining a service whose table or server list
// it lacks. It is bounded because the platform may not have them.
const joinTimeout = 2 * limit.ShareIncreaseDelay

// state is all control state. Only the control goroutine uses it.
type state struct {
	self Self
	now  time.Time
	// elapsed is the last reading of the ElapsedClock.
	elapsed time.Duration
	// startElapsed is the first reading of the ElapsedClock.
	startElapsed time.Duration
	// instances holds the live instances.
	instances []place.Instance
	// addresses holds the traffic address of each live instance.
	addresses map[ident.InstanceID]netip.AddrPort
	// peers holds the peer address of each live instance but this one.
	peers    map[ident.InstanceID]netip.AddrPort
	services map[ident.ServiceName]*service
	// serviceNames holds the names of the services in sorted order, which makes the order of actions
	// deterministic.
	serviceNames []ident.ServiceName
	members      *members
	dist         *dist.Core
	// distInstances holds the instances that were last passed to dist.
	distInstances []place.Instance
	// placementInstances holds the instances from which the services' placements were computed.
	placementInstances []place.Instance
}

// service is the control state of one service.
type service struct {
	table      *table.Table
	serverList *roster.ServerList
	status     *table.RolloutStatus
	loads      map[ident.ServerID]*route.ServerLoad
	shares     *shares
	backends   *backends
	// placement caches the instances that serve the service by placement alone, or is nil when not computed.
	placement []place.Instance
}

func newState(self Self) *state {
	return &state{
		self:      self,
		instances: []place.Instance{{ID: self.ID, Domain: self.Domain}},
		addresses: map[ident.InstanceID]netip.AddrPort{self.ID: self.Traffic},
		peers:     make(map[ident.InstanceID]netip.AddrPort),
		services:  make(map[ident.ServiceName]*service),
		members:   newMembers(self),
		dist:      dist.New(self.ID, self.Dist, rand.New(rand.NewPCG(self.Seed, 0))),
	}
}

// service returns the state of the named service and creates it if it does not exist.
func (st *state) service(n ident.ServiceName) *service {
	s, ok := st.services[n]
	if !ok {
		s = &service{loads: make(map[ident.ServerID]*route.ServerLoad), shares: newShares(), backends: newBackends(st, n)}
		st.services[n] = s
		i, _ := slices.BinarySearch(st.serviceNames, n)
		st.serviceNames = slices.Insert(st.serviceNames, i, n)
	}
	return s
}

// snapshot builds the snapshot for traffic.
func (st *state) snapshot() *route.Snapshot {
	if st.startElapsed == 0 {
		st.startElapsed = st.elapsed
	}
	if !slices.Equal(st.placementInstances, st.instances) {
		st.placementInstances = slices.Clone(st.instances)
		for _, s := range st.services {
			s.placement = nil
		}
	}
	out := &route.Snapshot{Services: make(map[ident.ServiceName]*route.Service, len(st.services))}
	for n, s := range st.services {
		out.Services[n] = st.serviceSnapshot(n, s)
	}
	return out
}

func (st *state) serviceSnapshot(n ident.ServiceName, s *service) *route.Service {
	out := &route.Service{Name: n}
	if s.table == nil || s.serverList == nil {
		// Without them this instance forwards calls to others that serve the service.
		serving := st.servingInstances(n, s)
		out.InstanceAddresses = st.trafficAddresses(serving)
		out.AwaitingSlots = st.elapsed-st.startElapsed < joinTimeout && containsInstance(serving, st.self.ID)
		return out
	}
	out.Revision = s.table.Revision
	serving := limit.ActiveInstances(s.table, st.servingInstances(n, s))
	if s.shares.plan == nil && st.elapsed-st.startElapsed >= limit.ShareIncreaseDelay {
		s.shares.assumeReady(st.elapsed, st.self.ID, serving)
	}
	s.shares.update(st.elapsed, st.self.ID, s, serving)
	s.backends.updateHolders(s, st.now)
	ready := s.shares.readyInstances(st.elapsed, st.self.ID)
	out.InstanceAddresses = st.trafficAddresses(ready)
	out.Local = containsInstance(ready, st.self.ID)
	out.AwaitingSlots = s.shares.awaitingSlots(st.self.ID)
	if !out.Local {
		return out
	}
	for _, b := range s.serverList.Servers {
		if srv := s.routeServer(b); srv != nil && s.backends.applyHealthLimit(srv, st.now) {
			out.Servers = append(out.Servers, srv)
		}
	}
	out.GroupByVersion(s.versionWeight)
	s.keepOldVersion(out)
	return out
}

// servingInstances returns the instances that serve the service by placement alone. The result is cached: it
// sorts all instances by hash, which took most of the control time with 110 services.
func (st *state) servingInstances(n ident.ServiceName, s *service) []place.Instance {
	if s.placement == nil {
		s.placement = place.ServingInstances(n, st.instances, st.self.InstancesPerService)
	}
	return s.placement
}

// routeServer returns the backend server as this instance may use it, or nil when the server accepts no
// calls.
func (s *service) routeServer(b roster.Server) *route.Server {
	w, ok := route.ServerWeight(s.table, b.ID, b.Domain, b.Version)
	if !ok || b.Draining {
		return nil
	}
	l, ok := s.loads[b.ID]
	if !ok {
		l = new(route.ServerLoad)
		s.loads[b.ID] = l
	}
	return &route.Server{
		ID: b.ID, Address: b.Address, Domain: b.Domain, Version: b.Version, Weight: w,
		MaxInflight: s.shares.tracker.Share(b.ID), Load: l,
		// Dividing by one more than the number of instances leaves connections for instances that have just
		// stopped serving.
		MaxConns: max(2, b.MaxConns/(len(s.shares.serving)+1)),
	}
}
