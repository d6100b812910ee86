package ctrl

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Sizes of the design target.
const (
	designInstances = 120
	designServices  = 110
	designServers   = 20
)

// newDesignState returns the control state of one of 120 instances that knows 110 services of 20 backend
// servers each, and the lists of the services that it serves. All servers are warm.
func newDesignState() (*state, []*roster.ServerList) {
	st := newState(Self{ID: "i0", Domain: "d0", InstancesPerService: 4, Dist: dist.DefaultConfig(4), Probe: ProbeBudget{Rate: 0.5, Bytes: 150}})
	st.now = time.Unix(1e6, 0)
	st.instances = nil
	for i := range designInstances {
		inst := place.Instance{ID: ident.InstanceID(fmt.Sprintf("i%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4))}
		st.instances = append(st.instances, inst)
		st.addresses[inst.ID] = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	}
	var served []*roster.ServerList
	for i := range designServices {
		name := ident.ServiceName(fmt.Sprintf("svc%d", i))
		st.service(name)
		for _, inst := range place.ServingInstances(name, st.instances, 4) {
			if inst.ID != st.self.ID {
				continue
			}
			l := newServerList(designServers, 4)
			l.Service = name
			TableReceived{Table: &table.Table{Service: name, Revision: 1}}.apply(st)
			ServerListReceived{ServerList: l}.apply(st)
			warmUp(st, l)
			served = append(served, l)
		}
	}
	advance(st, 10*time.Second)
	return st, served
}

// BenchmarkTick measures one tick and the publication of its snapshot. There are ten per second.
func BenchmarkTick(b *testing.B) {
	st, _ := newDesignState()
	b.ReportAllocs()
	for b.Loop() {
		st.now, st.elapsed = st.now.Add(tickInterval), st.elapsed+tickInterval
		tick{}.apply(st)
		st.snapshot()
	}
}

// BenchmarkOutcomes measures handling a batch of 64 outcomes. It excludes the snapshot, which is published
// with the next tick.
func BenchmarkOutcomes(b *testing.B) {
	st, served := newDesignState()
	batch := make([]route.TryOutcome, 64)
	b.ReportAllocs()
	for b.Loop() {
		for i := range batch {
			l := served[i%len(served)]
			batch[i] = route.TryOutcome{Service: l.Service, Server: l.Servers[i%designServers].ID, Version: "v1", Route: "r", Start: st.now, Latency: time.Millisecond}
		}
		OutcomesReported{Outcomes: batch}.apply(st)
	}
}
