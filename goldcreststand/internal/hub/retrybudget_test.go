package hub

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/store"
)

// Guards against denied retries that no log line shows, and against a line for each of them.
func TestDeniedRetriesAreLogged(t *testing.T) {
	h, out := newHarness(), new(messageLog)
	h.log = out
	budget := h.snapshot().Services[testService].RetryBudget
	for range 100 {
		budget.Withdraw(h.now)
	}
	h.wait(8 * deniedInterval)
	require.Equal(t, []string{"hub: retry budget exhausted"}, out.messages)
	require.False(t, budget.Withdraw(h.now))
	h.wait(time.Second)
	require.Len(t, out.messages, 2)
}

// retryFleet is a set of running instances and the list of members, in virtual time. All instances see a change of the list
// at once.
type retryFleet struct {
	now     time.Time
	rev     ident.Revision
	running map[ident.InstanceID]*state
	listed  map[ident.InstanceID]bool
	retries []time.Time
}

const (
	fleetSize        = 40
	fleetExtra       = 400
	fleetRetryWindow = 10 * time.Second
)

func newRetryFleet() *retryFleet {
	return &retryFleet{
		now: time.Unix(1e6, 0), running: make(map[ident.InstanceID]*state), listed: make(map[ident.InstanceID]bool),
	}
}

func fleetID(i int) ident.InstanceID { return ident.InstanceID("i" + strconv.Itoa(i)) }

// start starts an instance, which enters the list.
func (f *retryFleet) start(i int) {
	id := fleetID(i)
	st := newState(Self{
		Member: member(id), Bounds: Bounds{RetryExtra: fleetExtra, RetryWindow: fleetRetryWindow, CheckRate: 60},
	}, f.now, noLog{})
	ConfigUpdate{store.Batch[*rules.Config]{Complete: true, Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(1)}}}}.apply(st)
	f.running[id] = st
	f.list(i, true)
}

// kill ends an instance. Its entry stays.
func (f *retryFleet) kill(i int) { delete(f.running, fleetID(i)) }

// stop ends an instance that leaves the list.
func (f *retryFleet) stop(i int) {
	f.kill(i)
	f.list(i, false)
}

// list adds the instance to the list of members or removes it, whether it runs or not.
func (f *retryFleet) list(i int, listed bool) {
	if listed {
		f.listed[fleetID(i)] = true
	} else {
		delete(f.listed, fleetID(i))
	}
	f.rev++
	batch := store.Batch[ring.Member]{Complete: true, AsOf: at(f.rev)}
	for id := range f.listed {
		batch.Objects = append(batch.Objects, store.Object[ring.Member]{Name: string(id), Revision: f.rev, Value: member(id)})
	}
	for _, st := range f.running {
		MembersUpdate{batch}.apply(st)
	}
}

// run advances the time while each instance sends all retries that its budget allows.
func (f *retryFleet) run(d time.Duration) {
	for ; d > 0; d -= tickInterval {
		f.now = f.now.Add(tickInterval)
		for _, st := range f.running {
			st.now = f.now
			tick{}.apply(st)
			budget := st.snapshot().Services[testService].RetryBudget
			for budget.Withdraw(f.now) {
				f.retries = append(f.retries, f.now)
			}
		}
	}
}

// mostRetries returns the most retries in any span of the window's length.
func (f *retryFleet) mostRetries() int {
	most, first := 0, 0
	for i, at := range f.retries {
		for !f.retries[first].After(at.Add(-fleetRetryWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more extra retries of all instances together than the configuration allows, when instances are replaced, are
// missing from the list of members or start together.
func TestExtraRetriesOfAllInstances(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  func(f *retryFleet)
	}{
		{name: "unchanged", run: func(f *retryFleet) { f.run(3 * fleetRetryWindow) }},
		{name: "rolling restart", run: func(f *retryFleet) {
			for i := range fleetSize {
				f.stop(i)
				f.run(200 * time.Millisecond)
				f.start(i)
				f.run(200 * time.Millisecond)
			}
		}},
		{name: "many away at once", run: func(f *retryFleet) {
			for i := range fleetSize / 2 {
				f.stop(i)
			}
			f.run(3 * time.Second)
			for i := range fleetSize / 2 {
				f.start(i)
			}
			f.run(fleetRetryWindow)
		}},
		{name: "entries lost", run: func(f *retryFleet) {
			for i := range fleetSize / 2 {
				f.list(i, false)
			}
			f.run(3 * fleetRetryWindow)
		}},
		{name: "doubled", run: func(f *retryFleet) {
			for i := range fleetSize {
				f.start(fleetSize + i)
			}
			f.run(2 * fleetRetryWindow)
		}},
		{name: "all killed", run: func(f *retryFleet) {
			for i := range fleetSize {
				f.kill(i)
			}
			f.now = f.now.Add(time.Second)
			for i := range fleetSize {
				f.start(i)
			}
			f.run(2 * fleetRetryWindow)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newRetryFleet()
			for i := range fleetSize {
				f.start(i)
			}
			f.run(3 * fleetRetryWindow / 2)
			tt.run(f)
			require.NotEmpty(t, f.retries)
			require.LessOrEqual(t, f.mostRetries(), fleetExtra)
		})
	}
}

// Guards against extra retries that a fleet does not get back after its instances were replaced or became fewer.
func TestExtraRetriesComeBack(t *testing.T) {
	f := newRetryFleet()
	for i := range fleetSize {
		f.start(i)
	}
	f.run(2 * fleetRetryWindow)
	for i := range fleetSize / 2 {
		f.stop(i)
	}
	f.run(2 * time.Minute)
	f.retries = nil
	f.run(fleetRetryWindow)
	require.Greater(t, len(f.retries), fleetExtra/2)
}

// Guards against more connections of all instances to one server than it allows, while instances that run are missing from
// the list of members.
func TestConnectionsOfAllInstances(t *testing.T) {
	f := newRetryFleet()
	for i := range fleetSize {
		f.start(i)
	}
	f.run(time.Second)
	for i := range fleetSize / 2 {
		f.list(i, false)
	}
	f.run(30 * time.Second)
	sum := 0
	for _, st := range f.running {
		srv := st.serverSnapshot(st.config.Services[testService], &server{entry: entry("s1", "v1")}, nil)
		sum += srv.MaxConns
	}
	require.LessOrEqual(t, sum, config(1).Services[testService].MaxConns)
}
