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

// maxQueuedCalls bounds the memory of one service's queue. The predicted wait limits its length by the
// deadlines of the calls.
const maxQueuedCalls = 1024

// RejectError reports why a call got no slot. The call was not executed.
type RejectError struct {
	Verdict limit.Verdict
	// RetryAfter is the time after which a server takes calls again, or 0 if it is not known.
	RetryAfter time.Duration
}

var _ error = (*RejectError)(nil)

// Error returns the reason.
func (e *RejectError) Error() string { return "call rejected: " + e.Verdict.String() }

// Admission assigns slots of backend servers to calls and queues calls while no slot is free.
type Admission struct {
	snapshots Snapshots
	picker    route.Picker
	elapsed   ElapsedClock
	queues    sync.Map // ident.ServiceName to *serviceQueue
	done      chan struct{}
}

// NewAdmission returns an Admission. Queued calls get slots that a new snapshot adds only while Run runs.
func NewAdmission(s Snapshots, p route.Picker, elapsed ElapsedClock) *Admission {
	return &Admission{snapshots: s, picker: p, elapsed: elapsed, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (a *Admission) Done() <-chan struct{} { return a.done }

// Run dispatches queued calls after each publication of a snapshot until the context ends.
func (a *Admission) Run(ctx context.Context, published <-chan struct{}) {
	defer close(a.done)
	for {
		select {
		case <-published:
			a.queues.Range(func(_, v any) bool {
				v.(*serviceQueue).dispatch()
				return true
			})
		case <-ctx.Done():
			return
		}
	}
}

// Acquire returns a slot for the call and waits for one while none is free. The context carries the call's
// deadline. The error is a *RejectError or the error of the context.
func (a *Admission) Acquire(ctx context.Context, svc *route.Service, c limit.Call) (*Slot, error) {
	v := svc.PickVersion(rand.New(globalSource{}))
	if v == nil {
		return nil, &RejectError{Verdict: limit.VerdictFull}
	}
	q := a.queueFor(svc.Name)
	if q.length.Load() == 0 {
		if s := q.pick(svc, v); s != nil {
			return s, nil
		}
	}
	if after, unavailable := svc.Unavailable(a.elapsed.Elapsed()); unavailable {
		return nil, &RejectError{Verdict: limit.VerdictPaused, RetryAfter: after}
	}
	return q.wait(ctx, svc, v, c)
}

// TryAcquire returns a slot for a retry or a hedge without waiting, or nil. It selects the version by weight as
// for a first try; otherwise retries would raise the share of a version in rollout. Queued calls have
// precedence.
func (a *Admission) TryAcquire(svc *route.Service, tried func(*route.Server) bool) *Slot {
	q := a.queueFor(svc.Name)
	if q.length.Load() > 0 {
		return nil
	}
	untried := svc.WithoutServers(tried)
	v := untried.PickVersion(rand.New(globalSource{}))
	if v == nil {
		return nil
	}
	return q.pick(untried, v)
}

func (a *Admission) queueFor(n ident.ServiceName) *serviceQueue {
	if q, ok := a.queues.Load(n); ok {
		return q.(*serviceQueue)
	}
	q, _ := a.queues.LoadOrStore(n, &serviceQueue{admission: a, name: n, calls: limit.NewQueue[*waiter](maxQueuedCalls)})
	return q.(*serviceQueue)
}

// Slot is a slot of a backend server that is held by one try of a call.
type Slot struct {
	Server     *route.Server
	queue      *serviceQueue
	acquiredAt time.Duration
}

// Release frees the slot and updates the server's load estimates with the outcome.
func (s *Slot) Release(o route.TryOutcome) {
	now := s.queue.admission.elapsed.Elapsed()
	s.Server.Load.Release()
	s.Server.Load.Observe(now, now-s.acquiredAt, o.Result)
	s.Server.Load.ObserveReport(now, o.Inflight, o.Slots)
	s.queue.handleRelease(now - s.acquiredAt)
}

// serviceQueue holds the queued calls of one service. The goroutine that frees a slot dispatches them.
type serviceQueue struct {
	admission *Admission
	name      ident.ServiceName
	// length is the number of queued calls; it is read without the lock. push raises it before its last attempt to
	// pick a slot: a slot that is released concurrently is either picked by that attempt or assigned by dispatch.
	length atomic.Int32
	mu     sync.Mutex
	calls  *limit.Queue[*waiter]
}

// waiter is the request goroutine of a queued call.
type waiter struct {
	version ident.VersionName
	// result receives one value: a slot, or nil when the call is rejected.
	result chan *Slot
}

// queuedCall is a call in the queue.
type queuedCall = limit.Entry[*waiter]

func (q *serviceQueue) newSlot(s *route.Server, now time.Duration) *Slot {
	if s == nil {
		return nil
	}
	return &Slot{Server: s, queue: q, acquiredAt: now}
}

func (q *serviceQueue) pick(svc *route.Service, v *route.VersionPool) *Slot {
	now := q.admission.elapsed.Elapsed()
	return q.newSlot(svc.Pick(q.admission.picker, v, now, rand.New(globalSource{})), now)
}

func (q *serviceQueue) wait(ctx context.Context, svc *route.Service, v *route.VersionPool, c limit.Call) (*Slot, error) {
	e := &queuedCall{Call: c, Value: &waiter{version: v.Name, result: make(chan *Slot, 1)}}
	if s, verdict := q.push(svc, v, e); s != nil {
		return s, nil
	} else if verdict != limit.VerdictWait {
		return nil, &RejectError{Verdict: verdict}
	}
	select {
	case s := <-e.Value.result:
		if s == nil {
			return nil, q.rejection()
		}
		return s, nil
	case <-ctx.Done():
	}
	if q.remove(e) {
		return nil, ctx.Err()
	}
	if s := <-e.Value.result; s != nil {
		s.Release(route.TryOutcome{Result: route.ResultCanceled})
	}
	return nil, ctx.Err()
}

// rejection returns the error of a queued call that gets no slot.
func (q *serviceQueue) rejection() *RejectError {
	if svc, ok := q.admission.snapshots.Load().Services[q.name]; ok {
		if after, unavailable := svc.Unavailable(q.admission.elapsed.Elapsed()); unavailable {
			return &RejectError{Verdict: limit.VerdictPaused, RetryAfter: after}
		}
	}
	return &RejectError{Verdict: limit.VerdictLate}
}

// push queues the call, or returns a slot when one has become free.
func (q *serviceQueue) push(svc *route.Service, v *route.VersionPool, e *queuedCall) (*Slot, limit.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer func() { q.length.Store(int32(q.calls.Len())) }()
	q.length.Store(int32(q.calls.Len()) + 1)
	if q.calls.Len() == 0 {
		if s := q.pick(svc, v); s != nil {
			return s, limit.VerdictWait
		}
	}
	verdict, displaced := q.calls.Push(q.admission.elapsed.Elapsed(), e, svc.Slots())
	if displaced != nil {
		displaced.Value.result <- nil
	}
	return nil, verdict
}

// remove removes the call from the queue and reports whether it was still queued.
func (q *serviceQueue) remove(e *queuedCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !e.Waiting() {
		return false
	}
	q.calls.Remove(e)
	q.length.Store(int32(q.calls.Len()))
	return true
}

// handleRelease records how long a released slot was held and dispatches queued calls. When no call is queued
// and the lock is taken, it does neither, which avoids contention.
func (q *serviceQueue) handleRelease(held time.Duration) {
	if q.length.Load() > 0 {
		q.mu.Lock()
	} else if !q.mu.TryLock() {
		return
	}
	q.calls.RecordHold(held)
	q.mu.Unlock()
	q.dispatch()
}

// dispatch assigns free slots to queued calls.
func (q *serviceQueue) dispatch() {
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	defer func() { q.length.Store(int32(q.calls.Len())) }()
	snap := q.admission.snapshots.Load()
	svc, ok := snap.Services[q.name]
	if !ok || q.admission.elapsed.Elapsed() > snap.ValidUntil {
		return
	}
	for {
		e := q.calls.Next(q.admission.elapsed.Elapsed(), func(e *queuedCall) { e.Value.result <- nil })
		if e == nil {
			return
		}
		v := svc.Version(e.Value.version)
		if v == nil {
			v = svc.PickVersion(rand.New(globalSource{}))
		}
		if v == nil {
			return
		}
		s := q.pick(svc, v)
		if s == nil {
			// No release would end the wait for servers that have all asked for a pause.
			if _, unavailable := svc.Unavailable(q.admission.elapsed.Elapsed()); !unavailable {
				return
			}
		}
		q.calls.Start(e)
		e.Value.result <- s
	}
}

// globalSource is the global random source of math/rand/v2, which goroutines use concurrently without a lock.
type globalSource struct{}

var _ rand.Source = globalSource{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }
