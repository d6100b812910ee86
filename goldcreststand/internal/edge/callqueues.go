package edge

import (
	"sync"
	"time"

	"goldcreststand.example/core/admit"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/spread"
)

// callQueues holds the calls of each service that wait for a server. The zero value is empty. It is safe for concurrent
// use; services share no lock.
type callQueues struct {
	queues sync.Map
}

// callQueue holds the waiting calls of one service.
type callQueue struct {
	mu sync.Mutex
	// waiting holds the channels by which waiting calls are told to pick a server. The value is a server that is known to
	// have a free slot, or nil.
	waiting admit.Queue[chan *spread.Server]
	shares  admit.Shares
}

type queueEntry = admit.Entry[chan *spread.Server]

// get returns the queue of the service.
func (qs *callQueues) get(n ident.ServiceName) *callQueue {
	if q, ok := qs.queues.Load(n); ok {
		return q.(*callQueue)
	}
	q, _ := qs.queues.LoadOrStore(n, new(callQueue))
	return q.(*callQueue)
}

// clone returns a copy of the queue of the service.
func (qs *callQueues) clone(n ident.ServiceName) *callQueue {
	if q, ok := qs.queues.Load(n); ok {
		return q.(*callQueue).clone()
	}
	return new(callQueue)
}

// slotFreed wakes a waiting call if it may have the slot of a call of this instance that ended at the server.
func (qs *callQueues) slotFreed(n ident.ServiceName, s *spread.Server, now time.Time) {
	if q, ok := qs.queues.Load(n); ok {
		q.(*callQueue).slotFreed(s, now)
	}
}

// clone returns a copy, whose changes do not affect q.
func (q *callQueue) clone() *callQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &callQueue{waiting: q.waiting.Clone(), shares: q.shares.Clone()}
}

func (q *callQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}

// wake wakes up to n calls for the server, which is known to have as many free slots.
func (q *callQueue) wake(n int, s *spread.Server, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.waiting.Wake(n, now) {
		notify(e, s)
	}
}

func (q *callQueue) slotFreed(s *spread.Server, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.waiting.Free(now); e != nil {
		notify(e, s)
	}
}

// notify tells the call to pick a server. A call that is awake is not told again, so that its channel has room.
func notify(e *queueEntry, s *spread.Server) {
	select {
	case e.Value <- s:
	default:
	}
}

// policy returns the policy for a call now, and whether the call may pick a server before those that wait.
func (q *callQueue) policy(c admit.Call, now time.Time) (admit.DeadlineWait, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Policy(c, now), q.waiting.First(c, now)
}

// join adds a call that waits.
func (q *callQueue) join(c admit.Call, now time.Time) *queueEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Add(c, make(chan *spread.Server, 1), false, now)
}

// sleep records that the call found no server. A call that has been told meanwhile of another one stays awake.
func (q *callQueue) sleep(e *queueEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(e.Value) == 0 {
		q.waiting.Sleep(e)
	}
}

// due reports whether it is the call's turn to pick a server after its interval, and wakes the call whose turn it is
// otherwise.
func (q *callQueue) due(e *queueEntry, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := q.waiting.Due(e, now)
	if next != e {
		notify(next, nil)
	}
	return next == e
}

// leave removes a call. If it was told to pick a server and has not done so, another call is told, with the same server.
func (q *callQueue) leave(e *queueEntry, used bool, s *spread.Server, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case s = <-e.Value:
		used = false
	default:
	}
	if next := q.waiting.Remove(e, used, now); next != nil {
		notify(next, s)
	}
}

// serve records that a call got a server.
func (q *callQueue) serve(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Serve(now)
}

func (q *callQueue) retryAfter(left time.Duration, random float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.RetryAfter(left, random)
}

func (q *callQueue) exceedsShare(n ident.TenantName, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shares.Exceeds(n, now)
}

func (q *callQueue) recordArrival(n ident.TenantName, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares.Arrive(n, now)
}

func (q *callQueue) recordSend(n ident.TenantName, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shares.Send(n, now)
}
