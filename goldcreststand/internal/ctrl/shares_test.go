package ctrl

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// fleetOf returns the control states of instances in four failure domains, which know each other.
func fleetOf(n int, list *roster.ServerList, t *table.Table) []*state {
	nodes := make([]place.Instance, n)
	addresses := make(map[ident.InstanceID]netip.AddrPort)
	for i := range nodes {
		nodes[i] = place.Instance{ID: ident.InstanceID(fmt.Sprintf("i%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4))}
		addresses[nodes[i].ID] = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	}
	out := make([]*state, n)
	for i, node := range nodes {
		out[i] = newState(Self{ID: node.ID, Domain: node.Domain, Count: 4, Dist: dist.DefaultConfig(4)})
		out[i].nodes, out[i].addresses = nodes, addresses
		TableSeen{Table: t}.apply(out[i])
		ListingSeen{Listing: list}.apply(out[i])
		warm(out[i], list)
	}
	return out
}

func listing(n int, slots ident.Slots) *roster.ServerList {
	l := &roster.ServerList{Service: "svc", Revision: 1}
	for i := range n {
		l.Servers = append(l.Servers, roster.Server{
			ID: ident.ServerID(fmt.Sprintf("s%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4)), Version: "v1", Slots: slots,
		})
	}
	return l
}

// slotsAt publishes at all instances every second up to the time and returns the last snapshots.
func slotsAt(fleet []*state, from, to time.Duration) []*route.Service {
	out := make([]*route.Service, len(fleet))
	for at := from; at <= to; at += time.Second {
		for i, st := range fleet {
			st.boot = at
			out[i] = st.snapshot().Services["svc"]
		}
	}
	return out
}

// Guards against an instance that uses slots as soon as it has started, against slots that nobody uses
// later, and against callers that are sent to instances without slots.
func TestSharesComeIntoForce(t *testing.T) {
	fleet := fleetOf(6, listing(18, 3), &table.Table{Service: "svc", Revision: 1})
	for _, s := range slotsAt(fleet, 0, limit.ShareIncreaseDelay-time.Second) {
		require.Zero(t, s.Slots())
		require.Len(t, s.InstanceAddresses, 4)
		require.Equal(t, s.Local, s.AwaitingSlots)
	}
	var sum ident.Slots
	for _, s := range slotsAt(fleet, limit.ShareIncreaseDelay, limit.ShareIncreaseDelay+time.Second) {
		require.Equal(t, s.Local, s.Slots() > 0)
		require.False(t, s.AwaitingSlots)
		sum += s.Slots()
	}
	require.Equal(t, ident.Slots(54), sum)
	joined := &state{}
	*joined = *fleet[0]
	for _, st := range fleet {
		st.nodes = st.nodes[:3]
	}
	slotsAt(fleet, 8*time.Second, 20*time.Second)
	for _, st := range fleet {
		st.nodes = joined.nodes
	}
	for _, s := range slotsAt(fleet, 21*time.Second, 25*time.Second) {
		require.Len(t, s.InstanceAddresses, 3, "an instance that has just joined has no slots yet")
	}
	for _, s := range slotsAt(fleet, 26*time.Second, 27*time.Second) {
		require.Len(t, s.InstanceAddresses, 4)
	}
}

// Guards against a failure domain out of service whose servers keep slots, and against limits that the
// remaining servers exceed.
func TestDomainOutKeepsLimits(t *testing.T) {
	fleet := fleetOf(8, listing(18, 4), &table.Table{Service: "svc", Revision: 1})
	slotsAt(fleet, 0, 10*time.Second)
	for _, st := range fleet {
		TableSeen{Table: &table.Table{Service: "svc", Revision: 2, Rows: []table.Row{
			{Kind: table.KindDomain, Name: "d1", Weight: 100, State: table.StateOut},
			{Kind: table.KindDomain, Name: "d2", Weight: 100, Limit: 6},
			{Kind: table.KindService, Name: "svc", Weight: 100, Limit: 40},
		}}}.apply(st)
	}
	for _, p := range [][2]time.Duration{{11 * time.Second, 11 * time.Second}, {12 * time.Second, 30 * time.Second}} {
		sums := make(map[ident.DomainName]ident.Slots)
		var all ident.Slots
		for _, s := range slotsAt(fleet, p[0], p[1]) {
			for _, srv := range s.Servers {
				sums[srv.Domain] += srv.MaxInflight
				all += srv.MaxInflight
			}
		}
		require.Zero(t, sums["d1"])
		require.LessOrEqual(t, sums["d2"], ident.Slots(6))
		require.LessOrEqual(t, all, ident.Slots(40))
		require.Positive(t, all)
	}
}

// Guards against an instance that counts as ready before it has the table of a service that it serves,
// and against one that never does because the platform has none.
func TestJoiningWithoutTable(t *testing.T) {
	fleet := fleetOf(4, listing(4, 4), &table.Table{Service: "svc", Revision: 1})
	for _, st := range fleet {
		st.services["svc"].table = nil
	}
	for _, s := range slotsAt(fleet, time.Second, 2*time.Second) {
		require.True(t, s.AwaitingSlots)
	}
	for _, s := range slotsAt(fleet, 3*time.Second, time.Second+startLimit) {
		require.False(t, s.AwaitingSlots)
	}
}

// Guards against memory that grows with every server that was ever listed, and against calls in flight
// that are forgotten when their server comes back.
func TestLoadsOfGoneServersAreDropped(t *testing.T) {
	fleet := fleetOf(1, listing(4, 4), &table.Table{Service: "svc", Revision: 1})
	slotsAt(fleet, time.Second, 10*time.Second)
	loads := fleet[0].services["svc"].loads
	require.Len(t, loads, 4)
	require.True(t, loads["s3"].Acquire(1))
	l := listing(1, 4)
	l.Revision = 2
	ListingSeen{Listing: l}.apply(fleet[0])
	slotsAt(fleet, 11*time.Second, 11*time.Second)
	require.Contains(t, loads, ident.ServerID("s0"))
	require.Contains(t, loads, ident.ServerID("s3"))
	require.Len(t, loads, 2)
}

// Guards against an instance that goes on after a pause and keeps calls although it has no slots in force:
// the fault run showed rejected calls for three seconds after a frozen instance went on.
func TestResumedInstancePassesCallsOn(t *testing.T) {
	fleet := fleetOf(4, listing(18, 4), &table.Table{Service: "svc", Revision: 1})
	for _, s := range slotsAt(fleet, 0, 10*time.Second) {
		require.True(t, s.Local)
	}
	paused := fleet[1]
	paused.boot = 20 * time.Second
	s := paused.snapshot().Services["svc"]
	require.False(t, s.Local)
	require.Len(t, s.InstanceAddresses, 3)
	require.NotContains(t, s.InstanceAddresses, paused.addresses[paused.self.ID])
	last := slotsAt(fleet[1:2], 21*time.Second, 27*time.Second)[0]
	require.True(t, last.Local)
	require.Len(t, last.InstanceAddresses, 4)
}

// Guards against an instance that takes the place of a failed one and keeps calls before it has slots: a
// run with an instance that froze for 12 s showed a quarter of the calls rejected for two seconds.
func TestSubstitutePassesCallsOn(t *testing.T) {
	tb, list := &table.Table{Service: "svc", Revision: 1}, listing(18, 4)
	st := fleetOf(4, list, tb)[1]
	st.services, st.names = make(map[ident.ServiceName]*service), nil
	st.boot = time.Second
	st.snapshot()
	st.boot += 2 * limit.ShareIncreaseDelay
	TableSeen{Table: tb}.apply(st)
	ListingSeen{Listing: list}.apply(st)
	s := st.snapshot().Services["svc"]
	require.True(t, s.AwaitingSlots)
	require.False(t, s.Local)
	require.Len(t, s.InstanceAddresses, 3)
}
