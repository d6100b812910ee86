package model

import (
	"math/rand/v2"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
)

// Fault is something that goes wrong in a run.
type Fault interface {
	Name() string
	apply(r *run)
}

// Noisy slows each server for 20 to 80 ms about once a second.
type Noisy struct{}

// FastFail lets two servers fail all calls at once in the middle third of the run.
type FastFail struct{}

// Cold restarts three servers without notice after a third of the run.
type Cold struct{}

// Stale lets servers report their load 200 ms late, two of them always 0 and two always full.
type Stale struct{}

// DomainOut takes a failure domain out of service in the middle third: its servers by a row, its
// instances by their end.
type DomainOut struct{}

// RowOut takes the servers of a failure domain out of service by a row in the middle third; the
// instances there keep running.
type RowOut struct{}

// Restart ends the given number of the instances that serve the service after a third of the run; they
// are back 5 s later.
type Restart struct{ Count int }

var (
	_ Fault = Noisy{}
	_ Fault = FastFail{}
	_ Fault = Cold{}
	_ Fault = Stale{}
	_ Fault = DomainOut{}
	_ Fault = RowOut{}
	_ Fault = Restart{}
)

// restartTime is the time for which a restarted instance is away.
const restartTime = 5 * time.Second

// Name implements Fault.
func (Noisy) Name() string { return "noisy" }

func (Noisy) apply(r *run) {
	for i, s := range r.servers {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(1000+i)))
		for t := lead; t < r.end; {
			t += time.Duration(rng.ExpFloat64() * float64(time.Second))
			d := 20*time.Millisecond + time.Duration(rng.Int64N(int64(60*time.Millisecond)))
			s.slow = append(s.slow, span{t, t + d})
			t += d
		}
	}
}

// Name implements Fault.
func (FastFail) Name() string { return "fastfail" }

func (FastFail) apply(r *run) {
	for _, s := range r.servers[:2] {
		s.failing = r.middle()
	}
}

// Name implements Fault.
func (Cold) Name() string { return "cold" }

func (Cold) apply(r *run) {
	for _, s := range r.servers[:3] {
		s.cold = r.middle().start
	}
}

// Name implements Fault.
func (Stale) Name() string { return "stale" }

func (Stale) apply(r *run) {
	for i, s := range r.servers {
		switch {
		case i < 2:
			s.report = func(time.Duration) ident.Slots { return 0 }
		case i < 4:
			s.report = func(time.Duration) ident.Slots { return s.Slots }
		default:
			s.report = delayed(s)
		}
	}
}

// delayed returns the server's load as it was up to 200 ms ago.
func delayed(s *server) func(time.Duration) ident.Slots {
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
func (DomainOut) Name() string { return "domain-lost" }

func (DomainOut) apply(r *run) {
	RowOut{}.apply(r)
	for _, x := range r.fleet {
		if x.node.Domain == domain(0) {
			r.at(r.middle().start, func() { r.stop(x) })
			r.at(r.middle().end, func() { r.begin(x) })
		}
	}
}

// Name implements Fault.
func (RowOut) Name() string { return "row-out" }

func (RowOut) apply(r *run) {
	out := &table.Table{Rows: []table.Row{{Kind: table.KindDomain, Name: string(domain(0)), State: table.StateOut}}}
	r.at(r.middle().start, func() { r.setTable(out) })
	r.at(r.middle().end, func() { r.setTable(new(table.Table)) })
}

// Name implements Fault.
func (f Restart) Name() string { return "restart-" + string(rune('0'+f.Count)) }

func (f Restart) apply(r *run) {
	for _, x := range r.fleet {
		if at := r.rank(x); at < f.Count {
			r.at(r.middle().start, func() { r.stop(x) })
			r.at(r.middle().start+restartTime, func() { r.begin(x) })
		}
	}
}
