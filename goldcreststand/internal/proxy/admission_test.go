package proxy

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/route"
)

// testService provides snapshots of one service that tests change, and a clock that does not advance.
type testService struct {
	snapshot atomic.Pointer[route.Snapshot]
	loads    []*route.ServerLoad
}

func newTestService(servers int, share ident.Slots) *testService {
	ts := &testService{loads: make([]*route.ServerLoad, servers)}
	for i := range ts.loads {
		ts.loads[i] = new(route.ServerLoad)
	}
	ts.publish(share)
	return ts
}

func (ts *testService) Load() *route.Snapshot { return ts.snapshot.Load() }

func (ts *testService) Elapsed() time.Duration { return time.Minute }

func (ts *testService) publish(share ident.Slots) {
	svc := &route.Service{Name: "svc", Local: true}
	for i, l := range ts.loads {
		svc.Servers = append(svc.Servers, &route.Server{ID: ident.ServerID([]byte{'a' + byte(i)}), Version: "v1", Weight: 100, MaxInflight: share, Load: l})
	}
	svc.GroupByVersion(func(ident.VersionName) ident.Weight { return route.DefaultWeight })
	ts.snapshot.Store(&route.Snapshot{ValidUntil: time.Hour, Services: map[ident.ServiceName]*route.Service{"svc": svc}})
}

func (ts *testService) service() *route.Service { return ts.Load().Services["svc"] }

func (ts *testService) call(tenant ident.TenantName) limit.Call {
	return limit.Call{Tenant: tenant, Class: limit.DefaultClass, Deadline: ts.Elapsed() + time.Minute}
}

func (ts *testService) inflight() (n ident.Slots) {
	for _, l := range ts.loads {
		n += l.Inflight()
	}
	return n
}

// waitForQueued returns when n calls are queued.
func waitForQueued(a *Admission, n int32) {
	for a.queueFor("svc").length.Load() != n {
		runtime.Gosched()
	}
}

// Guards against a call that stays queued although a slot was released or control added one.
func TestQueuedCallGetsSlot(t *testing.T) {
	ts := newTestService(1, 1)
	a := NewAdmission(ts, route.Proportional{}, ts)
	published := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go a.Run(ctx, published)
	first, err := a.Acquire(ctx, ts.service(), ts.call("a"))
	require.NoError(t, err)
	got := make(chan *Slot)
	acquire := func() {
		s, err := a.Acquire(ctx, ts.service(), ts.call("a"))
		if err == nil {
			got <- s
		}
	}
	go acquire()
	waitForQueued(a, 1)
	require.Nil(t, a.TryAcquire(ts.service(), func(*route.Server) bool { return false }), "a retry or hedge must not overtake queued calls")
	first.Release(route.TryOutcome{})
	second := <-got
	go acquire()
	waitForQueued(a, 1)
	ts.publish(2)
	published <- struct{}{}
	third := <-got
	require.Equal(t, ident.Slots(2), ts.inflight())
	second.Release(route.TryOutcome{})
	third.Release(route.TryOutcome{})
	require.Zero(t, ts.inflight())
	cancel()
	<-a.Done()
}

// Guards against a lost slot or a call that stays queued when the caller disconnects while its call waits.
func TestCanceledCallLeavesQueue(t *testing.T) {
	ts := newTestService(1, 1)
	a := NewAdmission(ts, route.Proportional{}, ts)
	held, err := a.Acquire(t.Context(), ts.service(), ts.call("a"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := a.Acquire(ctx, ts.service(), ts.call("a"))
		failed <- err
	}()
	waitForQueued(a, 1)
	cancel()
	require.ErrorIs(t, <-failed, context.Canceled)
	require.Zero(t, a.queueFor("svc").length.Load())
	held.Release(route.TryOutcome{})
	require.Zero(t, ts.inflight())
}

// Guards against more calls in flight than slots, lost wake-ups and lost slots while many goroutines acquire
// and release slots and cancel their calls.
func TestAdmissionUnderContention(t *testing.T) {
	ts := newTestService(3, 2)
	a := NewAdmission(ts, route.Proportional{}, ts)
	var wg sync.WaitGroup
	var served, canceled atomic.Int32
	for i := range 64 {
		wg.Go(func() {
			for j := range 50 {
				ctx, cancel := context.WithCancel(t.Context())
				if (i+j)%7 == 0 {
					go cancel()
				}
				s, err := a.Acquire(ctx, ts.service(), ts.call(ident.TenantName([]byte{'a' + byte(i%4)})))
				if err != nil {
					canceled.Add(1)
				} else {
					if n := ts.inflight(); n > 6 {
						t.Errorf("%d calls in flight at 6 slots", n)
					}
					runtime.Gosched()
					served.Add(1)
					s.Release(route.TryOutcome{})
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.Equal(t, int32(64*50), served.Load()+canceled.Load())
	require.GreaterOrEqual(t, served.Load(), int32(64*50*6/7-64))
	require.Zero(t, ts.inflight())
	require.Zero(t, a.queueFor("svc").calls.Len())
}

// Guards against a version in rollout that gets more than its share because its servers have free slots
// while calls wait for the other version.
func TestVersionShareHoldsUnderSaturation(t *testing.T) {
	ts := newTestService(2, 1)
	ts.service().Servers[1].Version = "v2"
	ts.service().GroupByVersion(func(v ident.VersionName) ident.Weight {
		return map[ident.VersionName]ident.Weight{"v1": 90, "v2": 10}[v]
	})
	a := NewAdmission(ts, route.Proportional{}, ts)
	var wg sync.WaitGroup
	var newVersionCalls atomic.Int32
	const callers, calls = 16, 250
	for range callers {
		wg.Go(func() {
			for range calls {
				s, err := a.Acquire(t.Context(), ts.service(), ts.call("a"))
				if err != nil {
					t.Errorf("call rejected: %v", err)
					return
				}
				if s.Server.Version == "v2" {
					newVersionCalls.Add(1)
				}
				runtime.Gosched()
				s.Release(route.TryOutcome{})
			}
		})
	}
	wg.Wait()
	// Five standard deviations of 4,000 draws with probability 0.1.
	require.LessOrEqual(t, newVersionCalls.Load(), int32(callers*calls/10+95))
	require.Positive(t, newVersionCalls.Load())
}

// Guards against calls that fail because of header values that RFC 9218 allows.
func TestParsePriority(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   limit.Class
	}{
		{"none", nil, 3},
		{"urgent", []string{"u=0"}, 0},
		{"with another parameter", []string{"u=5, i"}, 5},
		{"two headers", []string{"u=5", "u=1"}, 1},
		{"out of range", []string{"u=8"}, 3},
		{"negative", []string{"u=-1"}, 3},
		{"nonsense", []string{";;=u"}, 3},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, parsePriority(c.values)) })
	}
}
