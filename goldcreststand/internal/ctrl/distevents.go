package ctrl

import (
	"net/netip"
	"slices"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// DistSeen hands an event to the distribution core.
type DistSeen struct{ Event dist.Event }

// FetchSeen is a peer's request. The reply goes to a channel that has room for it.
type FetchSeen struct {
	From    ident.InstanceID
	Request dist.Request
	Reply   chan<- dist.Reply
}

// StatusSeen says that a rollout status is in force.
type StatusSeen struct{ Status *table.RolloutStatus }

// FetchPeer asks to call the instance at the address.
type FetchPeer struct {
	Address netip.AddrPort
	Fetch   dist.CallPeer
}

var (
	_ Event = StatusSeen{}
	_ Event = DistSeen{}
	_ Event = FetchSeen{}
)

func (e DistSeen) apply(st *state) []Action { return st.distribute(e.Event) }

func (e FetchSeen) apply(st *state) []Action {
	reply, actions := st.dist.HandleRequest(st.now, e.From, e.Request)
	e.Reply <- reply
	return st.carry(actions)
}

func (e StatusSeen) apply(st *state) []Action {
	s := st.service(e.Status.Service)
	if e.Status.Newer(s.status) {
		s.status = e.Status
		s.backends.rollout.HandlePublishedStatus(*e.Status, st.now)
	}
	return nil
}

// distribute hands the event to the core and applies what the core decided.
func (st *state) distribute(ev dist.Event) []Action {
	return st.carry(st.dist.Handle(st.now, ev))
}

// distTick tells the core of the time and of changes of the live instances.
func (st *state) distTick() []Action {
	var out []Action
	if !slices.Equal(st.distNodes, st.nodes) {
		st.distNodes = slices.Clone(st.nodes)
		out = st.distribute(dist.MembersChanged{Members: st.distNodes})
	}
	return append(out, st.distribute(dist.Tick{})...)
}

// carry applies actions that concern control state and returns those for adapters.
func (st *state) carry(actions []dist.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case dist.ApplyObject:
			out = append(out, st.adopt(a.Object)...)
		case dist.DropObject:
			st.drop(a.Key)
		case dist.ServicesChanged:
			for _, n := range a.Services {
				st.service(n)
			}
		case dist.CallPeer:
			// The core retries when the address is not known yet.
			if to, ok := st.peers[a.To]; ok {
				out = append(out, FetchPeer{Address: to, Fetch: a})
			}
		default:
			out = append(out, a)
		}
	}
	return out
}

// adopt puts a version in force.
func (st *state) adopt(o dist.Object) []Action {
	switch {
	case o.Table != nil:
		return TableSeen{Table: o.Table}.apply(st)
	case o.ServerList != nil:
		return ListingSeen{Listing: o.ServerList}.apply(st)
	case o.Status != nil:
		return StatusSeen{Status: o.Status}.apply(st)
	}
	return nil
}

// drop forgets a version of a service that this instance does not serve.
func (st *state) drop(k dist.Key) {
	s := st.service(k.Service())
	switch k.Kind {
	case dist.KindTable:
		s.table = nil
	case dist.KindServerList:
		s.listing = nil
		clear(s.loads)
		s.backends.forget(st, k.Service())
	case dist.KindStatus, dist.KindReachability, dist.KindCatalog:
	}
}
