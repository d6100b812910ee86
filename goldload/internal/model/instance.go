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

// queueLimit is the largest number of calls that wait at one instance.
const queueLimit = 512

// instance is one simulated instance of goldcreststand.
type instance struct {
	run     *run
	member  place.Instance
	alive   bool
	shares  *limit.ShareTracker
	picker  route.Picker
	queue   *limit.Queue[*call]
	rng     *rand.Rand
	loads   map[ident.ServerID]*route.ServerLoad
	service *route.Service
	slots   ident.Slots
}

// call is one call of a caller.
type call struct {
	limit.Call
	start    time.Duration
	workTime time.Duration
	done     bool
}

func newInstance(r *run, m place.Instance, seed uint64) *instance {
	x := &instance{run: r, member: m, rng: rand.New(rand.NewPCG(r.Seed, seed))}
	x.reset()
	return x
}

// reset sets the state to that of an instance that has just started.
func (x *instance) reset() {
	x.shares = limit.NewShareTracker()
	x.picker = x.run.policy.Picker()
	x.queue = limit.NewQueue[*call](queueLimit)
	x.loads = make(map[ident.ServerID]*route.ServerLoad)
	x.service = &route.Service{Local: true}
	x.slots = 0
}

// publishSnapshot builds a new snapshot of the servers with the current shares.
func (x *instance) publishSnapshot() {
	if !x.alive {
		return
	}
	r := x.run
	x.shares.Observe(r.now, r.shares[x.member.ID])
	x.service = &route.Service{Local: true}
	for _, b := range r.serverList {
		x.service.Servers = append(x.service.Servers, x.snapshotServer(b))
	}
	x.slots = x.service.Slots()
	x.service.GroupByVersion(func(ident.VersionName) ident.Weight { return route.DefaultWeight })
	x.dispatch()
}

func (x *instance) snapshotServer(b roster.Server) *route.Server {
	l, ok := x.loads[b.ID]
	if !ok {
		l = new(route.ServerLoad)
		x.loads[b.ID] = l
	}
	return &route.Server{ID: b.ID, Domain: b.Domain, Version: b.Version, Weight: route.DefaultWeight, MaxInflight: x.shares.Share(b.ID), Load: l}
}

// accept handles a call from a caller: it sends, queues or rejects it.
func (x *instance) accept(c *call) {
	if x.queue.Len() == 0 && x.trySend(c) {
		return
	}
	if x.run.policy.Admission == AdmissionNoQueue {
		x.run.reject(c)
		return
	}
	e := &limit.Entry[*call]{Call: c.Call, Value: c}
	if x.run.policy.Admission == AdmissionFIFO {
		e.Call.Tenant, e.Call.Class = "", limit.DefaultClass
	}
	verdict, evicted := x.queue.Push(x.run.now, e, x.slots)
	if evicted != nil {
		x.run.reject(evicted.Value)
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

func (x *instance) trySend(c *call) bool {
	s := x.picker.Pick(x.service.Servers, x.run.now, x.rng)
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
		if e == nil || !x.trySend(e.Value) {
			return
		}
		x.queue.Start(e)
	}
}

// send sends the call to the server. The call ends at its deadline at the latest.
func (x *instance) send(c *call, s *route.Server) {
	r := x.run
	b := r.byID[s.ID]
	roundTrip := r.Deployment.roundTrip(x.member.Domain, s.Domain)
	sentAt := r.now
	b.start()
	r.started++
	end, failed := b.completionTime(sentAt+roundTrip/2, c.workTime)
	end += roundTrip / 2
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
		s.Load.Observe(r.now, r.now-sentAt, result)
		if result != route.ResultTimeout {
			s.Load.ObserveReport(r.now, b.reportedLoad(r.now), b.Slots)
		}
		if r.policy.Admission == AdmissionQueue {
			x.queue.RecordHold(r.now - sentAt)
		}
		r.complete(c, result)
		x.dispatch()
	})
}

func (s *server) reportedLoad(now time.Duration) ident.Slots {
	if s.reportLoad == nil {
		return s.inflight
	}
	return s.reportLoad(now)
}
