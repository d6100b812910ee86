package limit_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/table"
)

var splitters = []limit.Splitter{limit.LocalFirstSplitter{}, limit.EvenSplitter{}, limit.SingleInstanceSplitter{}}

func instances(n int) []place.Instance {
	out := make([]place.Instance, n)
	for i := range out {
		out[i] = place.Instance{ID: ident.InstanceID(fmt.Sprintf("i%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4))}
	}
	return out
}

func servers(n int, slots ident.Slots) []roster.Server {
	out := make([]roster.Server, n)
	for i := range out {
		out[i] = roster.Server{
			ID: ident.ServerID(fmt.Sprintf("s%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4)),
			Version: ident.VersionName(fmt.Sprintf("v%d", i/4%2)), Slots: slots,
		}
	}
	return out
}

func drawTable(t *rapid.T, count int) *table.Table {
	tb := &table.Table{Service: "svc"}
	row := func(kind table.Kind, name string) {
		if rapid.Bool().Draw(t, "has "+name) {
			tb.Rows = append(tb.Rows, table.Row{
				Kind: kind, Name: name, Weight: ident.Weight(rapid.SampledFrom([]int{0, 10, 100, 300}).Draw(t, "weight")),
				Limit: ident.Slots(rapid.IntRange(0, 20).Draw(t, "limit")),
				State: rapid.SampledFrom([]table.State{table.StateActive, table.StateActive, table.StateOut}).Draw(t, "state"),
			})
		}
	}
	row(table.KindService, "svc")
	row(table.KindVersion, "v1")
	for i := range 4 {
		row(table.KindDomain, fmt.Sprintf("d%d", i))
	}
	for i := range min(count, 3) {
		row(table.KindServer, fmt.Sprintf("s%d", i))
	}
	return tb
}

// Guards against shares that together exceed a server's slots or a limit of the table, and against
// shares at servers that are out of service.
func TestSharesStayWithinSlotsAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(rapid.IntRange(0, 18).Draw(t, "servers"), ident.Slots(rapid.IntRange(1, 5).Draw(t, "slots")))
		tb := drawTable(t, len(list))
		members := limit.ActiveInstances(tb, place.ServingInstances("svc", instances(rapid.IntRange(1, 16).Draw(t, "nodes")), 4))
		plan := rapid.SampledFrom(splitters).Draw(t, "splitter").Split("svc", limit.Caps(tb, list), members)
		sums := make(map[string]ident.Slots)
		for _, s := range list {
			var n ident.Slots
			for _, shares := range plan {
				require.GreaterOrEqual(t, shares[s.ID], ident.Slots(0))
				n += shares[s.ID]
			}
			require.LessOrEqual(t, n, s.Slots)
			for _, key := range []string{"server/" + string(s.ID), "domain/" + string(s.Domain), "version/" + string(s.Version), "service/svc"} {
				sums[key] += n
			}
		}
		for _, r := range tb.Rows {
			n := sums[r.Kind.String()+"/"+r.Name]
			if r.Limit != table.NoLimit {
				require.LessOrEqual(t, n, r.Limit)
			}
			if r.Kind != table.KindService && (r.State == table.StateOut || r.Weight == 0) {
				require.Zero(t, n)
			}
		}
	})
}

// Guards against slots that no instance may use, against instances without slots, and against shares
// that depend on the order of the members.
func TestSharesCoverAllSlots(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int
		slots   ident.Slots
	}{{"inventory", 18, 4}, {"dispatch", 12, 4}, {"checkin", 18, 3}, {"badging", 12, 3}} {
		for _, sp := range splitters {
			t.Run(fmt.Sprintf("%s %T", c.name, sp), func(t *testing.T) {
				ns := instances(4)
				caps := limit.Caps(new(table.Table), servers(c.servers, c.slots))
				plan := sp.Split("svc", caps, ns)
				var all ident.Slots
				for _, n := range ns {
					var sum ident.Slots
					for _, k := range plan[n.ID] {
						sum += k
					}
					require.InDelta(t, c.servers*int(c.slots)/4, int(sum), float64(c.slots))
					all += sum
				}
				require.Equal(t, ident.Slots(c.servers)*c.slots, all)
				require.Equal(t, plan, sp.Split("svc", caps, []place.Instance{ns[2], ns[0], ns[3], ns[1]}))
			})
		}
	}
}

// Guards against a failure domain that goes out of service and takes slots from the remaining
// instances: they would have too few until ShareIncreaseDelay has passed.
func TestInactiveDomainKeepsOtherShares(t *testing.T) {
	list, ns := servers(18, 4), instances(16)
	share := func(tb *table.Table) map[ident.InstanceID]limit.Shares {
		return limit.LocalFirstSplitter{}.Split("svc", limit.Caps(tb, list), limit.ActiveInstances(tb, place.ServingInstances("svc", ns, 4)))
	}
	before := share(new(table.Table))
	after := share(&table.Table{Rows: []table.Row{{Kind: table.KindDomain, Name: "d2", Weight: 100, State: table.StateOut}}})
	require.Len(t, after, 3)
	for id, shares := range after {
		for s, n := range shares {
			require.GreaterOrEqual(t, n, before[id][s]-1, "%s at %s", id, s)
		}
	}
}

// Guards against two instances that warm up the same server, and against an owner without slots there.
func TestOwnerHasLargestShare(t *testing.T) {
	ns := instances(4)
	for _, sp := range splitters {
		caps := limit.Caps(new(table.Table), servers(18, 3))
		plan := sp.Split("svc", caps, ns)
		for _, c := range caps {
			owner := limit.Owner(plan, ns, c.Server)
			for _, n := range ns {
				require.GreaterOrEqual(t, plan[owner][c.Server], plan[n.ID][c.Server])
			}
			require.Positive(t, plan[owner][c.Server])
		}
		require.Empty(t, limit.Owner(plan, ns, "gone"))
	}
}
