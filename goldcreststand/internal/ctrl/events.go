package ctrl

import (
	"slices"

	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// TableSeen says that a routing table was read, from the platform or another instance.
type TableSeen struct{ Table *table.Table }

// ListingSeen says that a list of backend servers was read.
type ListingSeen struct{ Listing *roster.ServerList }

// OutcomesSeen is a batch of outcomes that traffic reports.
type OutcomesSeen struct{ Outcomes []route.TryOutcome }

// tick says that time has passed.
type tick struct{}

var (
	_ Event = TableSeen{}
	_ Event = ListingSeen{}
	_ Event = OutcomesSeen{}
	_ Event = tick{}
)

func (e TableSeen) apply(st *state) []Action {
	s := st.service(e.Table.Service)
	if e.Table.Newer(s.table) {
		s.table = e.Table
	}
	return nil
}

func (e ListingSeen) apply(st *state) []Action {
	s := st.service(e.Listing.Service)
	if e.Listing.Newer(s.listing) {
		s.listing = e.Listing
		s.backends.tracker.SetServerList(e.Listing, st.now)
	}
	return nil
}

func (e OutcomesSeen) apply(st *state) []Action {
	st.observe(e.Outcomes)
	return nil
}

func (tick) apply(st *state) []Action {
	return slices.Concat(st.memberTick(), st.distTick(), st.tickServices())
}
