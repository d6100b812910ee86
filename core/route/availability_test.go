package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/route"
)

// Guards against a policy that sends calls to servers that are leaving or have asked for a pause, and against calls that
// wait for a service of which every server has done so.
func TestPickersSkipUnavailableServers(t *testing.T) {
	pickers := []route.Picker{route.Random{}, new(route.RoundRobin), route.LeastInflight{}, route.LeastCost{}, route.TwoChoices{}, route.Proportional{}}
	for _, p := range pickers {
		svc := &route.Service{}
		for _, id := range []ident.ServerID{"a", "b", "c"} {
			svc.Servers = append(svc.Servers, &route.Server{
				ID: id, Weight: route.DefaultWeight, MaxInflight: 50, Load: new(route.ServerLoad), Availability: new(notice.Availability),
			})
		}
		rng := rand.New(rand.NewPCG(1, 1))
		svc.Servers[0].Availability.Record(0, notice.Notice{Leaving: true})
		svc.Servers[1].Availability.Record(0, notice.Notice{Pause: time.Second})
		for range 20 {
			require.Equal(t, ident.ServerID("c"), p.Pick(svc.Servers, 0, rng).ID, "%T", p)
		}
		_, unavailable := svc.Unavailable(0)
		require.False(t, unavailable)
		svc.Servers[2].Availability.Record(0, notice.Notice{Pause: 2 * time.Second})
		require.Nil(t, p.Pick(svc.Servers, 0, rng), "%T", p)
		after, unavailable := svc.Unavailable(0)
		require.True(t, unavailable)
		require.Equal(t, time.Second, after)
		require.NotNil(t, p.Pick(svc.Servers, time.Second, rng), "%T", p)
	}
}
