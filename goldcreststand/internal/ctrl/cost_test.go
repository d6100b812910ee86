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

// designState returns the control state of one of 120 instances that knows 110 services of 20 backend
// servers each, and the lists of the services that it serves. All servers are warm.
func designState() (*state, []*roster.ServerList) {
	st := newState(Self{ID: "i0", Domain: "d0", Count: 4, Dist: dist.DefaultConfig(4), Probe: ProbeBudget{Rate: 0.5, Bytes: 150}})
	st.now = time.Unix(1e6, 0)
	st.nodes = nil
	for i := range designInstances {
		n := place.Instance{ID: ident.InstanceID(fmt.Sprintf("i%d", i)), Domain: ident.DomainName(fmt.Sprintf("d%d", i%4))}
		st.nodes = append(st.nodes, n)
		st.addresses[n.ID] = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	}
	var served []*roster.ServerList
	for i := range designServices {
		name := ident.ServiceName(fmt.Sprintf("svc%d", i))
		st.service(name)
		for _, n := range place.ServingInstances(name, st.nodes, 4) {
			if n.ID != st.self.ID {
				continue
			}
			l := listing(designServers, 4)
			l.Service = name
			TableSeen{Table: &table.Table{Service: name, Revision: 1}}.apply(st)
			ListingSeen{Listing: l}.apply(st)
			warm(st, l)
			served = append(served, l)
		}
	}
	pass(st, 10*time.Second)
	return st, served
}

// BenchmarkTick measures one tick with its publication. There are ten per second.
func BenchmarkTick(b *testing.B) {
	st, _ := designState()
	b.ReportAllocs()
	for b.Loop() {
		st.now, st.boot = st.now.Add(tickInterval), st.boot+tickInterval
		tick{}.apply(st)
		st.snapshot()
	}
}

// BenchmarkOutcomes measures a batch of 64 outcomes. It is published with the next tick.
func BenchmarkOutcomes(b *testing.B) {
	st, served := designState()
	batch := make([]route.TryOutcome, 64)
	b.ReportAllocs()
	for b.Loop() {
		for i := range batch {
			l := served[i%len(served)]
			batch[i] = route.TryOutcome{Service: l.Service, Server: l.Servers[i%designServers].ID, Version: "v1", Route: "r", Start: st.now, Latency: time.Millisecond}
		}
		OutcomesSeen{Outcomes: batch}.apply(st)
	}
}
