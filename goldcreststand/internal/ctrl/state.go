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

// Self describes this instance.
type Self struct {
	ID      ident.InstanceID
	Domain  ident.DomainName
	Traffic netip.AddrPort
	// Region, Peer and Start, the time at which the process started, are told to other instances.
	Region ident.RegionName
	Peer   netip.AddrPort
	Start  time.Time
	// Member sets the membership.
	Member member.Config
	// Count is the number of instances that serve a service.
	Count int
	// Probe is the budget of load measurement.
	Probe ProbeBudget
	// Dist sets the distribution of tables, lists and statuses.
	Dist dist.Config
	// Seed is the seed of random choices.
	Seed uint64
}

// startLimit is the longest time after its start for which an instance counts as joining a service whose
// table or list it lacks. The platform may not have them.
const startLimit = 2 * limit.ShareIncreaseDelay

// state is all control state. Only the control goroutine touches it.
type state struct {
	self Self
	now  time.Time
	// boot is the boot-time clock's reading, which runs during a pause.
	boot time.Duration
	// started is the first reading of it.
	started time.Duration
	nodes   []place.Instance
	// addresses holds the traffic address of each known instance.
	addresses map[ident.InstanceID]netip.AddrPort
	// peers holds the peer address of each known instance.
	peers    map[ident.InstanceID]netip.AddrPort
	services map[ident.ServiceName]*service
	// names are the names of the services, sorted, so that actions come in a fixed order.
	names   []ident.ServiceName
	members *members
	dist    *dist.Core
	// distNodes are the instances that dist knows of.
	distNodes []place.Instance
	// placedFor are the instances that the services' placements were made for.
	placedFor []place.Instance
}

// service is the control state of one service.
type service struct {
	table    *table.Table
	listing  *roster.ServerList
	status   *table.RolloutStatus
	loads    map[ident.ServerID]*route.ServerLoad
	shares   *shares
	backends *backends
	// placed are the instances that serve the service by placement alone, or nil when not known.
	placed []place.Instance
}

func newState(self Self) *state {
	return &state{
		self:      self,
		nodes:     []place.Instance{{ID: self.ID, Domain: self.Domain}},
		addresses: map[ident.InstanceID]netip.AddrPort{self.ID: self.Traffic},
		peers:     make(map[ident.InstanceID]netip.AddrPort),
		services:  make(map[ident.ServiceName]*service),
		members:   newMembers(self),
		dist:      dist.New(self.ID, self.Dist, rand.New(rand.NewPCG(self.Seed, 0))),
	}
}

// service returns the state of the named service and creates it when it is new.
func (st *state) service(n ident.ServiceName) *service {
	s, ok := st.services[n]
	if !ok {
		s = &service{loads: make(map[ident.ServerID]*route.ServerLoad), shares: newShares(), backends: newBackends(st, n)}
		st.services[n] = s
		i, _ := slices.BinarySearch(st.names, n)
		st.names = slices.Insert(st.names, i, n)
	}
	return s
}

// snapshot builds what traffic may know.
func (st *state) snapshot() *route.Snapshot {
	if st.started == 0 {
		st.started = st.boot
	}
	if !slices.Equal(st.placedFor, st.nodes) {
		st.placedFor = slices.Clone(st.nodes)
		for _, s := range st.services {
			s.placed = nil
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
	if s.table == nil || s.listing == nil {
		// Without them this instance passes calls on to others that serve the service.
		placed := st.serving(n, s)
		out.InstanceAddresses = st.entries(placed)
		out.AwaitingSlots = st.boot-st.started < startLimit && contains(placed, st.self.ID)
		return out
	}
	out.Revision = s.table.Revision
	serving := limit.ActiveInstances(s.table, st.serving(n, s))
	if s.shares.plan == nil && st.boot-st.started >= limit.ShareIncreaseDelay {
		s.shares.assumeReady(st.boot, st.self.ID, serving)
	}
	s.shares.update(st.boot, st.self.ID, s, serving)
	s.backends.follow(s, st.now)
	ready := s.shares.ready(st.boot, st.self.ID)
	out.InstanceAddresses = st.entries(ready)
	out.Local = contains(ready, st.self.ID)
	out.AwaitingSlots = s.shares.joining(st.self.ID)
	if !out.Local {
		return out
	}
	for _, b := range s.listing.Servers {
		if srv := s.server(b); srv != nil && s.backends.admit(srv, st.now) {
			out.Servers = append(out.Servers, srv)
		}
	}
	out.GroupByVersion(s.weight)
	s.keepOld(out)
	return out
}

// serving returns the instances that serve the service by placement alone. It sorts all instances by
// hash, which for 110 services took most of the control time before the result was kept.
func (st *state) serving(n ident.ServiceName, s *service) []place.Instance {
	if s.placed == nil {
		s.placed = place.ServingInstances(n, st.nodes, st.self.Count)
	}
	return s.placed
}

// server returns the backend server as this instance may use it, or nil when it takes no work.
func (s *service) server(b roster.Server) *route.Server {
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
		MaxInflight: s.shares.ledger.Share(b.ID), Load: l,
		// One part more than there are instances leaves room for those that served until lately.
		MaxConns: max(2, b.MaxConns/(len(s.shares.serving)+1)),
	}
}
