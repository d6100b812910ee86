package ctrl

import (
	"slices"

	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// TableReceived reports a routing table from the platform or another instance.
type TableReceived struct{ Table *table.Table }

// ServerListReceived reports a list of a service's backend servers from the platform or another instance.
type ServerListReceived struct{ ServerList *roster.ServerList }

// OutcomesReported is a batch of try outcomes reported by traffic.
type OutcomesReported struct{ Outcomes []route.TryOutcome }

// tick reports that time has passed.
type tick struct{}

var (
	_ Event = TableReceived{}
	_ Event = ServerListReceived{}
	_ Event = OutcomesReported{}
	_ Event = tick{}
)

func (e TableReceived) apply(st *state) []Action {
	s := st.service(e.Table.Service)
	if e.Table.Newer(s.table) {
		s.table = e.Table
	}
	return nil
}

func (e ServerListReceived) apply(st *state) []Action {
	s := st.service(e.ServerList.Service)
	if e.ServerList.Newer(s.serverList) {
		s.serverList = e.ServerList
		s.backends.tracker.SetServerList(e.ServerList, st.now)
	}
	return nil
}

func (e OutcomesReported) apply(st *state) []Action {
	st.observe(e.Outcomes)
	return nil
}

func (tick) apply(st *state) []Action {
	return slices.Concat(st.tickMembers(), st.tickDist(), st.tickServices())
}
