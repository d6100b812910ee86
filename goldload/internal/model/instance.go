package model

import (
	"math/rand/v2"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
)

// room is the number of calls that may wait at one instance.
const room = 512

// instance is one instance of goldcreststand.
type instance struct {
	run    *run
	node   place.Instance
	alive  bool
	ledger *limit.ShareTracker
	picker route.Picker
	queue  *limit.Queue[*call]
	rng    *rand.Rand
	loads  map[ident.ServerID]*route.ServerLoad
	svc    *route.Service
	slots  ident.Slots
}

// call is one call of a caller.
type call struct {
	limit.Call
	start time.Duration
	work  time.Duration
	done  bool
}

func newInstance(r *run, n place.Instance, seed uint64) *instance {
	x := &instance{run: r, node: n, rng: rand.New(rand.NewPCG(r.Seed, seed))}
	x.reset()
	return x
}

// reset makes the instance as one that has just started.
func (x *instance) reset() {
	x.ledger = limit.NewShareTracker()
	x.picker = x.run.policy.Picker()
	x.queue = limit.NewQueue[*call](room)
	x.loads = make(map[ident.ServerID]*route.ServerLoad)
	x.svc = &route.Service{Local: true}
	x.slots = 0
}

// control publishes a new snapshot.
func (x *instance) control() {
	if !x.alive {
		return
	}
	r := x.run
	x.ledger.Observe(r.now, r.plan[x.node.ID])
	x.svc = &route.Service{Local: true}
	for _, b := range r.listing {
		x.svc.Servers = append(x.svc.Servers, x.server(b))
	}
	x.slots = x.svc.Slots()
	x.svc.GroupByVersion(func(ident.VersionName) ident.Weight { return route.DefaultWeight })
	x.dispatch()
}

func (x *instance) server(b roster.Server) *route.Server {
	l, ok := x.loads[b.ID]
	if !ok {
		l = new(route.ServerLoad)
		x.loads[b.ID] = l
	}
	return &route.Server{ID: b.ID, Domain: b.Domain, Version: b.Version, Weight: route.DefaultWeight, MaxInflight: x.ledger.Share(b.ID), Load: l}
}

// accept takes a call from a caller.
func (x *instance) accept(c *call) {
	if x.queue.Len() == 0 && x.try(c) {
		return
	}
	if x.run.policy.Admit == AdmitNow {
		x.run.reject(c)
		return
	}
	e := &limit.Entry[*call]{Call: c.Call, Value: c}
	if x.run.policy.Admit == AdmitFIFO {
		e.Call.Tenant, e.Call.Class = "", limit.DefaultClass
	}
	verdict, victim := x.queue.Push(x.run.now, e, x.slots)
	if victim != nil {
		x.run.reject(victim.Value)
	}
	if verdict != limit.VerdictWait {
		x.run.reject(c)
		return
	}
	x.run.at(c.Deadline, func() {
		if e.Waiting() {
			x.queue.Remove(e)
			x.run.reject(c)
		}
	})
}

func (x *instance) try(c *call) bool {
	s := x.picker.Pick(x.svc.Servers, x.run.now, x.rng)
	if s == nil {
		return false
	}
	x.send(c, s)
	return true
}

// dispatch starts waiting calls while there are free slots.
func (x *instance) dispatch() {
	for x.queue.Len() > 0 {
		e := x.queue.Next(x.run.now, func(e *limit.Entry[*call]) { x.run.reject(e.Value) })
		if e == nil || !x.try(e.Value) {
			return
		}
		x.queue.Start(e)
	}
}

// send runs the call at the server and ends it at its deadline at the latest.
func (x *instance) send(c *call, s *route.Server) {
	r := x.run
	b := r.byID[s.ID]
	trip := r.Deployment.trip(x.node.Domain, s.Domain)
	began := r.now
	b.start()
	r.started++
	end, failed := b.finish(began+trip/2, c.work)
	end += trip / 2
	result := route.ResultOK
	switch {
	case end > c.Deadline:
		end, result = c.Deadline, route.ResultTimeout
	case failed:
		result = route.ResultFailed
	}
	r.at(end, func() {
		b.inflight--
		s.Load.Release()
		s.Load.Observe(r.now, r.now-began, result)
		if result != route.ResultTimeout {
			s.Load.ObserveReport(r.now, b.reported(r.now), b.Slots)
		}
		if r.policy.Admit == AdmitQueue {
			x.queue.RecordHold(r.now - began)
		}
		r.finish(c, result)
		x.dispatch()
	})
}

func (s *server) reported(now time.Duration) ident.Slots {
	if s.report == nil {
		return s.inflight
	}
	return s.report(now)
}
