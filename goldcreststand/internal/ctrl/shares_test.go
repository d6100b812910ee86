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

// newFleetStates returns the control states of n instances in four failure domains, all of which know each
// other.
func newFleetStates(n int, list *roster.ServerList, t *table.Table) []*state {
	instances := make([]place.Instance, n)
	addresses := make(map[ident.InstanceID]netip.AddrPort)
	for i := range instances {
		instances[i] = place.Instance{ID: ident.InstanceID(fmt.Sprintf("i%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4))}
		addresses[instances[i].ID] = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	}
	out := make([]*state, n)
	for i, inst := range instances {
		out[i] = newState(Self{ID: inst.ID, Domain: inst.Domain, InstancesPerService: 4, Dist: dist.DefaultConfig(4)})
		out[i].instances, out[i].addresses = instances, addresses
		TableReceived{Table: t}.apply(out[i])
		ServerListReceived{ServerList: list}.apply(out[i])
		warmUp(out[i], list)
	}
	return out
}

func newServerList(n int, slots ident.Slots) *roster.ServerList {
	l := &roster.ServerList{Service: "svc", Revision: 1}
	for i := range n {
		l.Servers = append(l.Servers, roster.Server{
			ID: ident.ServerID(fmt.Sprintf("s%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4)), Version: "v1", Slots: slots,
		})
	}
	return l
}

// snapshotsAt builds snapshots at all instances every second from the first time to the last and returns the
// last ones.
func snapshotsAt(fleet []*state, from, to time.Duration) []*route.Service {
	out := make([]*route.Service, len(fleet))
	for at := from; at <= to; at += time.Second {
		for i, st := range fleet {
			st.elapsed = at
			out[i] = st.snapshot().Services["svc"]
		}
	}
	return out
}

// Guards against an instance that uses slots immediately after its start, against slots that are never used,
// and against lookup responses that name instances without slots.
func TestSharesTakeEffectAfterDelay(t *testing.T) {
	fleet := newFleetStates(6, newServerList(18, 3), &table.Table{Service: "svc", Revision: 1})
	for _, s := range snapshotsAt(fleet, 0, limit.ShareIncreaseDelay-time.Second) {
		require.Zero(t, s.Slots())
		require.Len(t, s.InstanceAddresses, 4)
		require.Equal(t, s.Local, s.AwaitingSlots)
	}
	var sum ident.Slots
	for _, s := range snapshotsAt(fleet, limit.ShareIncreaseDelay, limit.ShareIncreaseDelay+time.Second) {
		require.Equal(t, s.Local, s.Slots() > 0)
		require.False(t, s.AwaitingSlots)
		sum += s.Slots()
	}
	require.Equal(t, ident.Slots(54), sum)
	original := &state{}
	*original = *fleet[0]
	for _, st := range fleet {
		st.instances = st.instances[:3]
	}
	snapshotsAt(fleet, 8*time.Second, 20*time.Second)
	for _, st := range fleet {
		st.instances = original.instances
	}
	for _, s := range snapshotsAt(fleet, 21*time.Second, 25*time.Second) {
		require.Len(t, s.InstanceAddresses, 3, "an instance that has just joined has no slots yet")
	}
	for _, s := range snapshotsAt(fleet, 26*time.Second, 27*time.Second) {
		require.Len(t, s.InstanceAddresses, 4)
	}
}

// Guards against servers that keep slots when their failure domain is out of service, and against exceeding
// the limits of the remaining servers.
func TestDomainOutOfServiceKeepsLimits(t *testing.T) {
	fleet := newFleetStates(8, newServerList(18, 4), &table.Table{Service: "svc", Revision: 1})
	snapshotsAt(fleet, 0, 10*time.Second)
	for _, st := range fleet {
		TableReceived{Table: &table.Table{Service: "svc", Revision: 2, Rows: []table.Row{
			{Kind: table.KindDomain, Name: "d1", Weight: 100, State: table.StateOut},
			{Kind: table.KindDomain, Name: "d2", Weight: 100, Limit: 6},
			{Kind: table.KindService, Name: "svc", Weight: 100, Limit: 40},
		}}}.apply(st)
	}
	for _, p := range [][2]time.Duration{{11 * time.Second, 11 * time.Second}, {12 * time.Second, 30 * time.Second}} {
		sums := make(map[ident.DomainName]ident.Slots)
		var all ident.Slots
		for _, s := range snapshotsAt(fleet, p[0], p[1]) {
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

// Guards against an instance that counts as ready before it has the table of a service that it serves, and
// against one that never becomes ready because the platform has no such table.
func TestAwaitingSlotsWithoutTable(t *testing.T) {
	fleet := newFleetStates(4, newServerList(4, 4), &table.Table{Service: "svc", Revision: 1})
	for _, st := range fleet {
		st.services["svc"].table = nil
	}
	for _, s := range snapshotsAt(fleet, time.Second, 2*time.Second) {
		require.True(t, s.AwaitingSlots)
	}
	for _, s := range snapshotsAt(fleet, 3*time.Second, time.Second+joinTimeout) {
		require.False(t, s.AwaitingSlots)
	}
}

// Guards against memory that grows with every server that was ever listed, and against losing the count of
// calls in flight when a server is removed and listed again.
func TestLoadsOfRemovedServersAreDropped(t *testing.T) {
	fleet := newFleetStates(1, newServerList(4, 4), &table.Table{Service: "svc", Revision: 1})
	snapshotsAt(fleet, time.Second, 10*time.Second)
	loads := fleet[0].services["svc"].loads
	require.Len(t, loads, 4)
	require.True(t, loads["s3"].Acquire(1))
	l := newServerList(1, 4)
	l.Revision = 2
	ServerListReceived{ServerList: l}.apply(fleet[0])
	snapshotsAt(fleet, 11*time.Second, 11*time.Second)
	require.Contains(t, loads, ident.ServerID("s0"))
	require.Contains(t, loads, ident.ServerID("s3"))
	require.Len(t, loads, 2)
}

// Guards against a resumed instance that keeps calls although it has no slots in force. In a fault run, calls
// were rejected for three seconds after a paused instance resumed.
func TestResumedInstanceForwardsCalls(t *testing.T) {
	fleet := newFleetStates(4, newServerList(18, 4), &table.Table{Service: "svc", Revision: 1})
	for _, s := range snapshotsAt(fleet, 0, 10*time.Second) {
		require.True(t, s.Local)
	}
	paused := fleet[1]
	paused.elapsed = 20 * time.Second
	s := paused.snapshot().Services["svc"]
	require.False(t, s.Local)
	require.Len(t, s.InstanceAddresses, 3)
	require.NotContains(t, s.InstanceAddresses, paused.addresses[paused.self.ID])
	last := snapshotsAt(fleet[1:2], 21*time.Second, 27*time.Second)[0]
	require.True(t, last.Local)
	require.Len(t, last.InstanceAddresses, 4)
}

// Guards against an instance that replaces a failed one and keeps calls before it has slots. In a run with an
// instance paused for 12 s, a quarter of the calls were rejected for two seconds.
func TestReplacementForwardsCalls(t *testing.T) {
	tb, list := &table.Table{Service: "svc", Revision: 1}, newServerList(18, 4)
	st := newFleetStates(4, list, tb)[1]
	st.services, st.serviceNames = make(map[ident.ServiceName]*service), nil
	st.elapsed = time.Second
	st.snapshot()
	st.elapsed += 2 * limit.ShareIncreaseDelay
	TableReceived{Table: tb}.apply(st)
	ServerListReceived{ServerList: list}.apply(st)
	s := st.snapshot().Services["svc"]
	require.True(t, s.AwaitingSlots)
	require.False(t, s.Local)
	require.Len(t, s.InstanceAddresses, 3)
}
