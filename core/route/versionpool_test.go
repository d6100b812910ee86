package route_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// service returns a service with an old and a new version of the given weights.
func service(older, newer []*route.Server, wo, wn ident.Weight) *route.Service {
	s := &route.Service{Servers: append([]*route.Server{}, newer...)}
	for i, srv := range newer {
		srv.Version, srv.ID = "v2", ident.ServerID(fmt.Sprintf("n%d", i))
	}
	s.Servers = append(s.Servers, older...)
	s.GroupByVersion(func(v ident.VersionName) ident.Weight {
		if v == "v2" {
			return wn
		}
		return wo
	})
	return s
}

// Guards against version shares that depend on latency: the new version is faster and has as many servers,
// and must still get exactly its share of the calls.
func TestVersionWeightsAreSharesOfTraffic(t *testing.T) {
	const calls = 20000
	for _, share := range []int{1, 5, 25, 50} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			s := service(servers(6, 4), servers(6, 4), ident.Weight(100-share), ident.Weight(share))
			for _, srv := range s.Servers {
				d := 10 * time.Millisecond
				if srv.Version == "v2" {
					d = time.Millisecond
				}
				srv.Load.Observe(time.Minute, d, route.ResultOK)
			}
			rng, n := newRng(), 0
			for range calls {
				srv := s.Pick(route.Proportional{}, s.PickVersion(rng), time.Minute, rng)
				if srv.Version == "v2" {
					n++
				}
				srv.Load.Release()
			}
			p := float64(share) / 100
			require.InDelta(t, p*calls, n, 5*math.Sqrt(calls*p*(1-p)))
		})
	}
}

// Guards against calls moving to the new version when the old one has no free slots.
func TestFullVersionDoesNotRaiseShareOfLighterVersion(t *testing.T) {
	s := service(servers(2, 1), servers(2, 1), 95, 5)
	rng := newRng()
	older, newer := s.Version("v1"), s.Version("v2")
	for range 2 {
		require.NotNil(t, s.Pick(route.Proportional{}, older, time.Minute, rng))
	}
	require.Nil(t, s.Pick(route.Proportional{}, older, time.Minute, rng))
	older.Servers[0].Load.Release()
	for range 3 {
		srv := s.Pick(route.Proportional{}, newer, time.Minute, rng)
		require.NotNil(t, srv, "a call of the new version may go to the old one")
	}
	require.Nil(t, s.Pick(route.Proportional{}, newer, time.Minute, rng))
}

// Guards against calls to a server whose server, domain or version row is out or has weight 0.
func TestServerWeightRespectsRows(t *testing.T) {
	row := func(k table.Kind, name string, w ident.Weight, st table.State) *table.Table {
		return &table.Table{Rows: []table.Row{{Kind: k, Name: name, Weight: w, State: st}}}
	}
	for _, c := range []struct {
		name   string
		table  *table.Table
		weight ident.Weight
		ok     bool
	}{
		{"no rows", new(table.Table), 100, true},
		{"server weight", row(table.KindServer, "s", 50, table.StateActive), 50, true},
		{"domain weight", row(table.KindDomain, "d", 300, table.StateActive), 300, true},
		{"version weight is no server weight", row(table.KindVersion, "v", 5, table.StateActive), 100, true},
		{"server out", row(table.KindServer, "s", 100, table.StateOut), 100, false},
		{"domain out", row(table.KindDomain, "d", 100, table.StateOut), 100, false},
		{"version out", row(table.KindVersion, "v", 100, table.StateOut), 100, false},
		{"version weight 0", row(table.KindVersion, "v", 0, table.StateActive), 100, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, ok := route.ServerWeight(c.table, "s", "d", "v")
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.weight, w)
			require.Equal(t, c.name == "version out" || c.name == "version weight 0", route.VersionWeight(c.table, "v") == 0)
		})
	}
}

// Guards against retries at a version that was rolled back, and against retries that raise the share of a
// version in rollout.
func TestWithoutServersKeepsVersionShares(t *testing.T) {
	rolledBack := service(servers(2, 4), servers(2, 4), 100, 0)
	require.Len(t, rolledBack.Servers, 2)
	s := service(servers(3, 4), servers(3, 4), 99, 1)
	first := s.Versions[0].Servers[0]
	rest := s.WithoutServers(func(x *route.Server) bool { return x == first })
	require.Len(t, rest.Servers, 5)
	rng, n := newRng(), 0
	for range 10000 {
		srv := rest.Pick(route.Proportional{}, rest.PickVersion(rng), time.Minute, rng)
		require.NotEqual(t, first, srv)
		if srv.Version == "v2" {
			n++
		}
		srv.Load.Release()
	}
	require.InDelta(t, 100, n, 50)
	require.Len(t, s.Versions[0].Servers, 3, "the service itself is unchanged")
	lightOnly := s.WithoutServers(func(x *route.Server) bool { return x.Version == "v1" })
	none := 0
	for range 100 {
		if srv := lightOnly.Pick(route.Proportional{}, lightOnly.PickVersion(rng), time.Minute, rng); srv == nil {
			none++
		} else {
			srv.Load.Release()
		}
	}
	require.Greater(t, none, 90, "the light version gets the calls of the heavy one")
}
