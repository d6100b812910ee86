package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
)

// queueRoom is the number of calls that may wait for one service. It bounds memory; the predicted wait
// bounds the useful length.
const queueRoom = 1024

// RejectError says why a call got no slot. The call was not executed.
type RejectError struct{ Verdict limit.Verdict }

var _ error = (*RejectError)(nil)

// Error returns the reason.
func (e *RejectError) Error() string { return "call rejected: " + e.Verdict.String() }

// Admission gives slots at backend servers to calls and lets calls wait for a free one.
type Admission struct {
	snapshots Snapshots
	picker    route.Picker
	elapsed   ElapsedClock
	lanes     sync.Map // ident.ServiceName to *lane
	done      chan struct{}
}

// NewAdmission returns an admission. Calls that wait get slots that control adds only while Run runs.
func NewAdmission(s Snapshots, p route.Picker, elapsed ElapsedClock) *Admission {
	return &Admission{snapshots: s, picker: p, elapsed: elapsed, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (a *Admission) Done() <-chan struct{} { return a.done }

// Run starts waiting calls after each publication of a snapshot, until the context ends.
func (a *Admission) Run(ctx context.Context, published <-chan struct{}) {
	defer close(a.done)
	for {
		select {
		case <-published:
			a.lanes.Range(func(_, v any) bool {
				v.(*lane).dispatch()
				return true
			})
		case <-ctx.Done():
			return
		}
	}
}

// Acquire returns a slot for the call. It waits for one until the context ends at most; the context
// carries the call's deadline. The error is a *RejectError or that of the context.
func (a *Admission) Acquire(ctx context.Context, svc *route.Service, c limit.Call) (*Slot, error) {
	v := svc.PickVersion(rand.New(source{}))
	if v == nil {
		return nil, &RejectError{limit.VerdictFull}
	}
	l := a.lane(svc.Name)
	if l.waiting.Load() == 0 {
		if s := l.pick(svc, v); s != nil {
			return s, nil
		}
	}
	return l.wait(ctx, svc, v, c)
}

// Try returns a slot for a further try of a call, without waiting, or nil. It draws the version by weight
// like a first try, so that retries do not raise the share of a version in rollout. It leaves free slots
// to calls that wait.
func (a *Admission) Try(svc *route.Service, tried func(*route.Server) bool) *Slot {
	l := a.lane(svc.Name)
	if l.waiting.Load() > 0 {
		return nil
	}
	rest := svc.WithoutServers(tried)
	v := rest.PickVersion(rand.New(source{}))
	if v == nil {
		return nil
	}
	return l.pick(rest, v)
}

func (a *Admission) lane(n ident.ServiceName) *lane {
	if l, ok := a.lanes.Load(n); ok {
		return l.(*lane)
	}
	l, _ := a.lanes.LoadOrStore(n, &lane{admission: a, name: n, queue: limit.NewQueue[*waiter](queueRoom)})
	return l.(*lane)
}

// Slot is a slot at a backend server that a try of a call holds.
type Slot struct {
	Server *route.Server
	lane   *lane
	began  time.Duration
}

// Release gives the slot back and lets the server's estimates learn from the outcome.
func (s *Slot) Release(o route.TryOutcome) {
	now := s.lane.admission.elapsed.Elapsed()
	s.Server.Load.Release()
	s.Server.Load.Observe(now, now-s.began, o.Result)
	s.Server.Load.ObserveReport(now, o.Inflight, o.Slots)
	s.lane.freed(now - s.began)
}

// lane is the queue of one service. Its calls start in the goroutine that frees a slot.
type lane struct {
	admission *Admission
	name      ident.ServiceName
	// waiting is the length of the queue. It is raised before the last attempt to get a slot without
	// waiting, so that a slot which is released meanwhile is seen by one side.
	waiting atomic.Int32
	mu      sync.Mutex
	queue   *limit.Queue[*waiter]
}

// waiter is a request goroutine that waits.
type waiter struct {
	version ident.VersionName
	// answer gets one value: a slot, or nil when the call is rejected.
	answer chan *Slot
}

// entry is a call in the queue.
type entry = limit.Entry[*waiter]

func (l *lane) slot(s *route.Server, now time.Duration) *Slot {
	if s == nil {
		return nil
	}
	return &Slot{Server: s, lane: l, began: now}
}

func (l *lane) pick(svc *route.Service, v *route.VersionPool) *Slot {
	now := l.admission.elapsed.Elapsed()
	return l.slot(svc.Pick(l.admission.picker, v, now, rand.New(source{})), now)
}

func (l *lane) wait(ctx context.Context, svc *route.Service, v *route.VersionPool, c limit.Call) (*Slot, error) {
	e := &entry{Call: c, Value: &waiter{version: v.Name, answer: make(chan *Slot, 1)}}
	if s, verdict := l.push(svc, v, e); s != nil {
		return s, nil
	} else if verdict != limit.VerdictWait {
		return nil, &RejectError{verdict}
	}
	select {
	case s := <-e.Value.answer:
		return answered(s)
	case <-ctx.Done():
	}
	if l.remove(e) {
		return nil, ctx.Err()
	}
	if s := <-e.Value.answer; s != nil {
		s.Release(route.TryOutcome{Result: route.ResultCanceled})
	}
	return nil, ctx.Err()
}

func answered(s *Slot) (*Slot, error) {
	if s == nil {
		return nil, &RejectError{limit.VerdictLate}
	}
	return s, nil
}

// push puts the call into the queue, or returns a slot when one has become free.
func (l *lane) push(svc *route.Service, v *route.VersionPool, e *entry) (*Slot, limit.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.waiting.Store(int32(l.queue.Len())) }()
	l.waiting.Store(int32(l.queue.Len()) + 1)
	if l.queue.Len() == 0 {
		if s := l.pick(svc, v); s != nil {
			return s, limit.VerdictWait
		}
	}
	verdict, victim := l.queue.Push(l.admission.elapsed.Elapsed(), e, svc.Slots())
	if victim != nil {
		victim.Value.answer <- nil
	}
	return nil, verdict
}

// remove takes the call out of the queue and reports whether it was there.
func (l *lane) remove(e *entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !e.Waiting() {
		return false
	}
	l.queue.Remove(e)
	l.waiting.Store(int32(l.queue.Len()))
	return true
}

// freed notes that a slot became free and starts waiting calls. While none waits it skips the note
// rather than contend for the lock.
func (l *lane) freed(held time.Duration) {
	if l.waiting.Load() > 0 {
		l.mu.Lock()
	} else if !l.mu.TryLock() {
		return
	}
	l.queue.RecordHold(held)
	l.mu.Unlock()
	l.dispatch()
}

// dispatch starts waiting calls while there are free slots.
func (l *lane) dispatch() {
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.waiting.Store(int32(l.queue.Len())) }()
	snap := l.admission.snapshots.Load()
	svc, ok := snap.Services[l.name]
	if !ok || l.admission.elapsed.Elapsed() > snap.ValidUntil {
		return
	}
	for {
		e := l.queue.Next(l.admission.elapsed.Elapsed(), func(e *entry) { e.Value.answer <- nil })
		if e == nil {
			return
		}
		v := svc.Version(e.Value.version)
		if v == nil {
			v = svc.PickVersion(rand.New(source{}))
		}
		if v == nil {
			return
		}
		s := l.pick(svc, v)
		if s == nil {
			return
		}
		l.queue.Start(e)
		e.Value.answer <- s
	}
}

// source is the process's random source, which goroutines share without a lock.
type source struct{}

var _ rand.Source = source{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }
