package ctrl

import (
	"fmt"
	"testing"
	"time"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// BenchmarkTickServices measures one tick of health, probing and rollouts at an instance that serves 27
// services with 20 servers each, all in a rollout, after 200 outcomes.
func BenchmarkTickServices(b *testing.B) {
	st := newState(Self{ID: "i0", InstancesPerService: 4, Dist: dist.DefaultConfig(4), Probe: ProbeBudget{Rate: 0.5, Bytes: 150}})
	st.now = time.Unix(1e6, 0)
	var batch []route.TryOutcome
	for i := range 27 {
		n := ident.ServiceName(fmt.Sprintf("svc%d", i))
		l := &roster.ServerList{Service: n, Revision: 1}
		for j := range 20 {
			id := ident.ServerID(fmt.Sprintf("s%d", j))
			l.Servers = append(l.Servers, roster.Server{ID: id, Slots: 4, Version: []ident.VersionName{"v1", "v2"}[j%2]})
		}
		TableReceived{Table: &table.Table{Service: n, Revision: 1, Rollout: &table.RolloutSpec{
			Attempt: 1, From: "v1", To: "v2", Deadline: st.now.Add(time.Hour),
		}}}.apply(st)
		ServerListReceived{ServerList: l}.apply(st)
		warmUp(st, l)
		for j := range 8 {
			batch = append(batch, route.TryOutcome{Service: n, Server: l.Servers[j].ID, Version: l.Servers[j].Version, Route: "r"})
		}
	}
	advance(st, 10*time.Second)
	for b.Loop() {
		st.now = st.now.Add(tickInterval)
		for i := range batch {
			batch[i].Start, batch[i].Latency = st.now, time.Millisecond
		}
		st.observe(batch)
		st.tickServices()
	}
}
