package dist_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/table"
)

// Guards against an instance whose calls all hang and that makes no new call until their waits are over. Found
// by TestEditsReachServingInstances with seed 5 and 2,000 cases.
func TestHungCallIsReplacedByProbe(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := dist.New("i0", dist.DefaultConfig(4), rand.New(rand.NewPCG(1, 1)))
	probes := 0
	var handle func(ev dist.Event)
	handle = func(ev dist.Event) {
		for _, a := range c.Handle(now, ev) {
			w, ok := a.(dist.StartWatch)
			switch {
			case !ok:
			case w.Tag != "" && w.Wait == 0:
				probes++
			case w.Tag != "":
				// The call hangs.
			case w.Key == dist.CatalogKey():
				handle(dist.CatalogRead{Call: w.Call, Tag: "1", Services: []ident.ServiceName{"s0"}})
			default:
				handle(dist.ObjectRead{Call: w.Call, Tag: "1", Object: object(w.Key)})
			}
		}
	}
	handle(dist.MembersChanged{Members: []place.Instance{{ID: "i0", Domain: "d0"}}})
	for end := now.Add(simTarget); now.Before(end); now = now.Add(simTick) {
		handle(dist.Tick{})
	}
	require.NotNil(t, c.Object(dist.TableKey("s0")))
	require.Positive(t, probes)
}

func object(k dist.Key) dist.Object {
	switch k.Kind {
	case dist.KindStatus:
		return dist.FromStatus(&table.RolloutStatus{Service: k.Service(), Attempt: 1})
	case dist.KindServerList:
		return dist.FromServerList(&roster.ServerList{Service: k.Service(), Revision: 1})
	default:
		return dist.FromTable(&table.Table{Service: k.Service(), Revision: 1})
	}
}
