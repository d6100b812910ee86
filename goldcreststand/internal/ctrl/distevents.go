package ctrl

import (
	"net/netip"
	"slices"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// DistEvent passes an event to the distribution core.
type DistEvent struct{ Event dist.Event }

// FetchReceived is a fetch request from another instance. Reply must have room for one value.
type FetchReceived struct {
	From    ident.InstanceID
	Request dist.Request
	Reply   chan<- dist.Reply
}

// StatusReceived reports a rollout status from the distribution.
type StatusReceived struct{ Status *table.RolloutStatus }

// SendFetch requests a fetch call to the instance at the address.
type SendFetch struct {
	Address netip.AddrPort
	Call    dist.CallPeer
}

var (
	_ Event = StatusReceived{}
	_ Event = DistEvent{}
	_ Event = FetchReceived{}
)

func (e DistEvent) apply(st *state) []Action { return st.handleDistEvent(e.Event) }

func (e FetchReceived) apply(st *state) []Action {
	reply, actions := st.dist.HandleRequest(st.now, e.From, e.Request)
	e.Reply <- reply
	return st.applyDistActions(actions)
}

func (e StatusReceived) apply(st *state) []Action {
	s := st.service(e.Status.Service)
	if e.Status.Newer(s.status) {
		s.status = e.Status
		s.backends.rollout.HandlePublishedStatus(*e.Status, st.now)
	}
	return nil
}

// handleDistEvent passes the event to the distribution core and applies the resulting actions.
func (st *state) handleDistEvent(ev dist.Event) []Action {
	return st.applyDistActions(st.dist.Handle(st.now, ev))
}

// tickDist passes changes of the live instances and a tick to the distribution core.
func (st *state) tickDist() []Action {
	var out []Action
	if !slices.Equal(st.distInstances, st.instances) {
		st.distInstances = slices.Clone(st.instances)
		out = st.handleDistEvent(dist.MembersChanged{Members: st.distInstances})
	}
	return append(out, st.handleDistEvent(dist.Tick{})...)
}

// applyDistActions applies the actions that change control state and returns those for adapters.
func (st *state) applyDistActions(actions []dist.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case dist.ApplyObject:
			out = append(out, st.applyObject(a.Object)...)
		case dist.DropObject:
			st.dropObject(a.Key)
		case dist.ServicesChanged:
			for _, n := range a.Services {
				st.service(n)
			}
		case dist.CallPeer:
			// The core retries when the address is not known yet.
			if to, ok := st.peers[a.To]; ok {
				out = append(out, SendFetch{Address: to, Call: a})
			}
		default:
			out = append(out, a)
		}
	}
	return out
}

// applyObject applies a received version of a table, server list or rollout status.
func (st *state) applyObject(o dist.Object) []Action {
	switch {
	case o.Table != nil:
		return TableReceived{Table: o.Table}.apply(st)
	case o.ServerList != nil:
		return ServerListReceived{ServerList: o.ServerList}.apply(st)
	case o.Status != nil:
		return StatusReceived{Status: o.Status}.apply(st)
	}
	return nil
}

// dropObject discards an object of a service that this instance does not serve.
func (st *state) dropObject(k dist.Key) {
	s := st.service(k.Service())
	switch k.Kind {
	case dist.KindTable:
		s.table = nil
	case dist.KindServerList:
		s.serverList = nil
		clear(s.loads)
		s.backends.resetHealth(st, k.Service())
	case dist.KindStatus, dist.KindReachability, dist.KindCatalog:
	}
}
