package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
)

const queueCapacity = 12

type entry = limit.Entry[int]

// queueModel compares a queue with a plain list of the waiting calls.
type queueModel struct {
	q       *limit.Queue[int]
	now     time.Duration
	waiting []*entry
	ended   map[int]bool
	pushed  int
}

// end records that a call left the queue; it fails when the call was not waiting or left before.
func (w *queueModel) end(t *rapid.T, e *entry) {
	require.False(t, w.ended[e.Value], "call %d ended twice", e.Value)
	w.ended[e.Value] = true
	for i, x := range w.waiting {
		if x == e {
			w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
			return
		}
	}
	t.Fatalf("call %d was not waiting", e.Value)
}

func (w *queueModel) push(t *rapid.T) {
	w.pushed++
	e := &entry{Value: w.pushed, Call: limit.Call{
		Tenant:   rapid.SampledFrom([]ident.TenantName{"a", "b", "c"}).Draw(t, "tenant"),
		Class:    limit.Class(rapid.IntRange(0, 7).Draw(t, "class")),
		Deadline: w.now + time.Duration(rapid.IntRange(-1, 50).Draw(t, "deadline"))*time.Millisecond,
	}}
	verdict, evicted := w.q.Push(w.now, e, ident.Slots(rapid.IntRange(0, 4).Draw(t, "slots")))
	if evicted != nil {
		require.GreaterOrEqual(t, evicted.Call.Class, e.Call.Class, "a more urgent call was evicted")
		w.end(t, evicted)
	}
	if verdict == limit.VerdictWait {
		w.waiting = append(w.waiting, e)
	} else {
		w.ended[e.Value] = true
		require.Nil(t, evicted)
	}
	require.Equal(t, verdict == limit.VerdictWait, e.Waiting())
}

func (w *queueModel) start(t *rapid.T) {
	e := w.q.Next(w.now, func(e *entry) { w.end(t, e) })
	if e == nil {
		require.Empty(t, w.waiting)
		return
	}
	require.Less(t, w.now, e.Call.Deadline, "started after its deadline")
	for _, x := range w.waiting {
		require.GreaterOrEqual(t, x.Call.Class, e.Call.Class, "a more urgent call waits")
		if x.Call.Class == e.Call.Class && x.Call.Tenant == e.Call.Tenant {
			require.Equal(t, e, x, "an earlier call of the tenant waits")
			break
		}
	}
	w.q.Start(e)
	w.end(t, e)
}

// Guards against calls that are lost, started twice, out of order or after their deadline.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &queueModel{q: limit.NewQueue[int](queueCapacity), ended: make(map[int]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"push":  w.push,
			"burst": func(t *rapid.T) { w.push(t); w.push(t); w.push(t) },
			"start": w.start,
			"cancel": func(t *rapid.T) {
				if len(w.waiting) == 0 {
					t.Skip("nothing waits")
				}
				e := rapid.SampledFrom(w.waiting).Draw(t, "entry")
				w.q.Remove(e)
				w.end(t, e)
			},
			"pass": func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond },
			"freed": func(t *rapid.T) {
				w.q.RecordHold(time.Duration(rapid.IntRange(1, 10).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(w.waiting), w.q.Len())
				require.LessOrEqual(t, w.q.Len(), queueCapacity)
				require.Equal(t, w.pushed, len(w.ended)+len(w.waiting))
			},
		})
	})
}

func fill(t *testing.T, q *limit.Queue[int], tenant ident.TenantName, n int) {
	for range n {
		q.Push(0, &entry{Call: limit.Call{Tenant: tenant, Class: limit.DefaultClass, Deadline: time.Minute}}, 1)
	}
	require.NotZero(t, q.Len())
}

// Guards against a burst of one tenant that keeps calls of another out of the queue or from starting.
func TestBurstDoesNotStarveOthers(t *testing.T) {
	for _, calls := range []int{5, queueCapacity, 1000} {
		t.Run(fmt.Sprint(calls), func(t *testing.T) {
			q := limit.NewQueue[int](queueCapacity)
			fill(t, q, "burst", calls)
			for i := range 3 {
				e := &entry{Value: i + 1, Call: limit.Call{Tenant: "calm", Class: limit.DefaultClass, Deadline: time.Minute}}
				verdict, _ := q.Push(0, e, 1)
				require.Equal(t, limit.VerdictWait, verdict)
			}
			var order []int
			for range 6 {
				e := q.Next(0, nil)
				order = append(order, e.Value)
				q.Start(e)
			}
			require.Equal(t, []int{0, 1, 0, 2, 0, 3}, order)
		})
	}
}

// Guards against queueing calls that cannot be completed in time, and against rejecting calls that can.
func TestPushRejectsByPredictedWait(t *testing.T) {
	q := limit.NewQueue[int](1000)
	q.RecordHold(10 * time.Millisecond)
	fill(t, q, "a", 20)
	// 21 calls at 10 ms each over 2 slots take 105 ms, and 30 ms must be left.
	for _, c := range []struct {
		name     string
		deadline time.Duration
		class    limit.Class
		want     limit.Verdict
	}{
		{"too late", 134 * time.Millisecond, limit.DefaultClass, limit.VerdictLate},
		{"in time", 136 * time.Millisecond, limit.DefaultClass, limit.VerdictWait},
		{"urgent", 40 * time.Millisecond, 0, limit.VerdictWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			verdict, _ := q.Push(0, &entry{Call: limit.Call{Tenant: "a", Class: c.class, Deadline: c.deadline}}, 2)
			require.Equal(t, c.want, verdict)
		})
	}
	verdict, _ := q.Push(2*time.Second, &entry{Call: limit.Call{Tenant: "a", Class: limit.DefaultClass, Deadline: time.Minute}}, 2)
	require.Equal(t, limit.VerdictFull, verdict, "a standing queue must not grow")
}
