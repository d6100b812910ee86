package model

import (
	"math/rand/v2"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Fault is a fault that is injected into a run.
type Fault interface {
	Name() string
	apply(r *run)
}

// NoisyNeighbour slows each server for 20 to 80 ms about once a second.
type NoisyNeighbour struct{}

// FastFailure makes two servers fail all calls immediately in the middle third of the run.
type FastFailure struct{}

// ColdRestart restarts three servers without notice after a third of the run. They are slow until warm.
type ColdRestart struct{}

// StaleLoadReports makes servers report their load up to 200 ms late. Two servers always report no load
// and two always full load.
type StaleLoadReports struct{}

// DomainOutage takes a failure domain out of service in the middle third of the run: its servers by a row
// of the routing table, its instances by stopping them.
type DomainOutage struct{}

// DomainOutOfService takes the servers of a failure domain out of service by a row of the routing table in
// the middle third of the run. The instances there keep running.
type DomainOutOfService struct{}

// InstanceRestart stops Count of the instances that serve the service after a third of the run and starts
// them again after restartTime.
type InstanceRestart struct{ Count int }

var (
	_ Fault = NoisyNeighbour{}
	_ Fault = FastFailure{}
	_ Fault = ColdRestart{}
	_ Fault = StaleLoadReports{}
	_ Fault = DomainOutage{}
	_ Fault = DomainOutOfService{}
	_ Fault = InstanceRestart{}
)

// restartTime is the time from the stop of an instance to its start.
const restartTime = 5 * time.Second

// Name implements Fault.
func (NoisyNeighbour) Name() string { return "noisy" }

func (NoisyNeighbour) apply(r *run) {
	for i, s := range r.servers {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(1000+i)))
		for t := trafficStart; t < r.trafficEnd; {
			t += time.Duration(rng.ExpFloat64() * float64(time.Second))
			d := 20*time.Millisecond + time.Duration(rng.Int64N(int64(60*time.Millisecond)))
			s.slowSpans = append(s.slowSpans, span{t, t + d})
			t += d
		}
	}
}

// Name implements Fault.
func (FastFailure) Name() string { return "fastfail" }

func (FastFailure) apply(r *run) {
	for _, s := range r.servers[:2] {
		s.failureSpan = r.middleThird()
	}
}

// Name implements Fault.
func (ColdRestart) Name() string { return "cold" }

func (ColdRestart) apply(r *run) {
	for _, s := range r.servers[:3] {
		s.coldSince = r.middleThird().start
	}
}

// Name implements Fault.
func (StaleLoadReports) Name() string { return "stale" }

func (StaleLoadReports) apply(r *run) {
	for i, s := range r.servers {
		switch {
		case i < 2:
			s.reportLoad = func(time.Duration) ident.Slots { return 0 }
		case i < 4:
			s.reportLoad = func(time.Duration) ident.Slots { return s.Slots }
		default:
			s.reportLoad = delayedLoad(s)
		}
	}
}

// delayedLoad returns a load report that is updated at most every 200 ms.
func delayedLoad(s *server) func(time.Duration) ident.Slots {
	var value ident.Slots
	var next time.Duration
	return func(now time.Duration) ident.Slots {
		if now >= next {
			value, next = s.inflight, now+200*time.Millisecond
		}
		return value
	}
}

// Name implements Fault.
func (DomainOutage) Name() string { return "domain-outage" }

func (DomainOutage) apply(r *run) {
	DomainOutOfService{}.apply(r)
	for _, x := range r.instances {
		if x.member.Domain == domainName(0) {
			r.at(r.middleThird().start, func() { r.stop(x) })
			r.at(r.middleThird().end, func() { r.restart(x) })
		}
	}
}

// Name implements Fault.
func (DomainOutOfService) Name() string { return "domain-out-of-service" }

func (DomainOutOfService) apply(r *run) {
	outTable := &table.Table{Rows: []table.Row{{Kind: table.KindDomain, Name: string(domainName(0)), State: table.StateOut}}}
	r.at(r.middleThird().start, func() { r.setTable(outTable) })
	r.at(r.middleThird().end, func() { r.setTable(new(table.Table)) })
}

// Name implements Fault.
func (f InstanceRestart) Name() string { return "restart-" + string(rune('0'+f.Count)) }

func (f InstanceRestart) apply(r *run) {
	for _, x := range r.instances {
		if rank := r.rank(x); rank < f.Count {
			r.at(r.middleThird().start, func() { r.stop(x) })
			r.at(r.middleThird().start+restartTime, func() { r.restart(x) })
		}
	}
}
