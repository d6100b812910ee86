package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/budget"
	"goldcreststand.example/core/ident"
)

var start = time.Unix(1000, 0)

// testLimits returns limits of 1 MB and ten connections of each class.
func testLimits() budget.Limits {
	l := budget.Limits{
		Memory: 1 << 20, PeerMemory: 1 << 20, Conns: make(map[budget.Class]int), Stall: time.Second, IdleStall: 5 * time.Second, NewStall: time.Second / 5,
	}
	for _, c := range budget.ClassValues() {
		l.Conns[c] = 10
	}
	return l
}

// at returns the time some seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against heads that find room again and again while the garbage of earlier ones still takes the memory, and against calls and
// ordinary readiness checks that are refused because of it.
func TestHeadsFindNoRoomBesideGarbage(t *testing.T) {
	for _, class := range []budget.Class{budget.ClassReadiness, budget.ClassLookups, budget.ClassMetrics} {
		b := budget.New(testLimits())
		kept := b.Open(start, class)
		require.True(t, b.Take(kept, budget.ItemHead, 400<<10))
		b.Discard(kept)
		require.False(t, b.CollectionDue())
		ended := b.Open(start, class)
		require.True(t, b.Take(ended, budget.ItemField, 2000))
		b.Close(ended)
		require.Equal(t, ident.Bytes(400<<10+2000*200), b.Garbage())
		require.True(t, b.CollectionDue())

		require.False(t, b.Take(kept, budget.ItemHead, 300<<10))
		require.True(t, b.Take(b.Open(start, budget.ClassCalls), budget.ItemHead, 300<<10))
		ordinary := b.Open(start, class)
		require.True(t, b.Take(ordinary, budget.ItemHead, 1000))
		require.True(t, b.Take(ordinary, budget.ItemField, 20))
		n := b.NextBatch()
		require.Equal(t, b.Garbage(), n)
		require.Zero(t, b.NextBatch())
		require.False(t, b.Take(kept, budget.ItemHead, 300<<10))
		b.Collected(n)
		require.Zero(t, b.Garbage())
		require.True(t, b.Take(kept, budget.ItemHead, 300<<10))
	}
}

// Guards against fields that count as their bytes only, and memory that is not given back.
func TestFieldsCountMoreThanTheirBytes(t *testing.T) {
	b := budget.New(testLimits())
	id := b.Open(start, budget.ClassCalls)
	empty, _ := b.Held()
	require.True(t, b.Take(id, budget.ItemHead, 15<<10))
	require.True(t, b.Take(id, budget.ItemField, 2200))
	held, _ := b.Held()
	require.Equal(t, ident.Bytes(15<<10+2200*200), held-empty)
	require.False(t, b.Take(id, budget.ItemField, 5000))
	after, _ := b.Held()
	require.Equal(t, held, after)
	b.Close(id)
	b.Close(id)
	after, _ = b.Held()
	require.Zero(t, after)
	require.False(t, b.Take(id, budget.ItemHead, 1))
}

// Guards against one legal body that keeps all other callers out, and against bodies that leave no memory for heads.
func TestLongBodyLeavesRoom(t *testing.T) {
	b := budget.New(testLimits())
	id := b.Open(start, budget.ClassCalls)
	require.True(t, b.Take(id, budget.ItemBody, 900<<10))
	require.False(t, b.Take(id, budget.ItemBody, 100<<10))
	_, ok := b.MayAccept(budget.ClassCalls)
	require.True(t, ok)
	other := b.Open(start, budget.ClassCalls)
	require.False(t, b.Take(other, budget.ItemBody, 30<<10))
	require.True(t, b.Take(other, budget.ItemField, 50))
}

// Guards against measures in another order: accepting ends first, then reading ahead, then requests are refused.
func TestOrderOfMeasures(t *testing.T) {
	tests := []struct {
		percent int64
		want    budget.Level
	}{{60, budget.LevelNone}, {71, budget.LevelAccept}, {81, budget.LevelRead}, {91, budget.LevelRefuse}}
	for _, tt := range tests {
		t.Run(tt.want.String(), func(t *testing.T) {
			b := budget.New(testLimits())
			id := b.Open(start, budget.ClassCalls)
			require.True(t, b.Take(id, budget.ItemHead, tt.percent*(1<<20)/100-16<<10))
			require.Equal(t, tt.want, b.Level())
			cause, ok := b.MayAccept(budget.ClassCalls)
			require.Equal(t, tt.want == budget.LevelNone, ok)
			require.Equal(t, budget.CauseMemory, cause)
			require.Equal(t, tt.want < budget.LevelRead, b.MayReadAhead())
			for _, c := range []budget.Class{budget.ClassReadiness, budget.ClassLookups, budget.ClassMetrics, budget.ClassPeers} {
				_, ok := b.MayAccept(c)
				require.True(t, ok, c)
			}
		})
	}
}

// Guards against other instances that callers shut out, and callers that other instances do.
func TestPeersHaveMemoryOfTheirOwn(t *testing.T) {
	b := budget.New(testLimits())
	caller, peer := b.Open(start, budget.ClassCalls), b.Open(start, budget.ClassPeers)
	require.True(t, b.Take(caller, budget.ItemHead, 1000<<10))
	require.False(t, b.Take(caller, budget.ItemHead, 100<<10))
	require.True(t, b.Take(peer, budget.ItemMessage, 300<<10))
	require.False(t, b.Take(peer, budget.ItemMessage, 100<<10))
}

// Guards against a choice by time or by memory alone, and against closing connections that make progress, whose call is being
// worked on, or that are idle for a short time.
func TestVictims(t *testing.T) {
	type conn struct {
		phase  budget.Phase
		body   int64
		lastAt float64
	}
	tests := []struct {
		name  string
		conns []conn
		want  []budget.ConnID
	}{
		{name: "no pressure", conns: []conn{{budget.PhaseReceiving, 500 << 10, 0}}},
		{name: "holds most", conns: []conn{{budget.PhaseReceiving, 200 << 10, 0}, {budget.PhaseReceiving, 780 << 10, 0}}, want: []budget.ConnID{2}},
		{name: "longest without progress", conns: []conn{{budget.PhaseReceiving, 440 << 10, 0}, {budget.PhaseReceiving, 500 << 10, 8}}, want: []budget.ConnID{1}},
		{name: "progress", conns: []conn{{budget.PhaseReceiving, 960 << 10, 9.5}}},
		{name: "work", conns: []conn{{budget.PhaseWorking, 960 << 10, 0}}},
		{name: "does not read", conns: []conn{{budget.PhaseSending, 960 << 10, 8}}, want: []budget.ConnID{1}},
		{name: "new and silent", conns: []conn{{budget.PhaseIdle, 960 << 10, -1}}, want: []budget.ConnID{1}},
		{name: "briefly idle", conns: []conn{{budget.PhaseIdle, 960 << 10, 6}}},
		{name: "several", conns: []conn{{budget.PhaseReceiving, 490 << 10, 0}, {budget.PhaseReceiving, 490 << 10, 0}}, want: []budget.ConnID{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := budget.New(testLimits())
			for _, c := range tt.conns {
				id := b.Open(start, budget.ClassCalls)
				b.Enter(start, id, c.phase)
				if c.phase == budget.PhaseIdle && c.lastAt >= 0 {
					b.Enter(start, id, budget.PhaseReceiving)
					b.Enter(start, id, budget.PhaseIdle)
				}
				b.Charge(id, budget.ItemBody, c.body)
				if c.lastAt >= 0 {
					b.Progress(at(c.lastAt), id, 1<<10)
				}
			}
			var got []budget.ConnID
			for _, v := range b.Victims(at(10)) {
				require.Equal(t, budget.CauseMemory, v.Cause)
				got = append(got, v.ID)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a readiness check that waits behind idle connections for as long as a caller of calls may be idle.
func TestIdleConnectionsOfControlMakeRoom(t *testing.T) {
	for class, want := range map[budget.Class]int{budget.ClassCalls: 0, budget.ClassPeers: 0, budget.ClassReadiness: 5, budget.ClassMetrics: 5} {
		b := budget.New(testLimits())
		for range 10 {
			id := b.Open(start, class)
			b.Enter(start, id, budget.PhaseReceiving)
			b.Enter(start, id, budget.PhaseIdle)
		}
		require.Len(t, b.Victims(at(1)), want, class)
	}
}

// Guards against a crowd that keeps all connections of a class, by a byte now and then, and against a slow but steady caller
// that is closed with it.
func TestConnectionsWithoutProgressMakeRoom(t *testing.T) {
	b := budget.New(testLimits())
	steady := b.Open(start, budget.ClassCalls)
	b.Enter(start, steady, budget.PhaseReceiving)
	for range 9 {
		b.Enter(start, b.Open(start, budget.ClassCalls), budget.PhaseReceiving)
	}
	_, ok := b.MayAccept(budget.ClassCalls)
	require.False(t, ok)
	require.True(t, b.HalfFull(budget.ClassCalls))
	require.False(t, b.HalfFull(budget.ClassLookups))
	for i := range 20 {
		now := at(float64(i) / 10)
		b.Progress(now, steady, 200)
		for id := steady + 1; id <= steady+9; id++ {
			b.Progress(now, id, 1)
		}
	}
	victims := b.Victims(at(2))
	require.Len(t, victims, 5)
	for _, v := range victims {
		require.NotEqual(t, steady, v.ID)
		require.Equal(t, budget.CauseConnections, v.Cause)
		b.Close(v.ID)
	}
	require.Empty(t, b.Victims(at(2)))
	_, ok = b.MayAccept(budget.ClassCalls)
	require.True(t, ok)
}

// Guards against readiness checks, lookups and requests for metrics that are refused beside long bodies, because the garbage of earlier
// ones takes what is left of the memory and no collection is due.
func TestGarbageIsCollectedBeforeHeadsAreRefused(t *testing.T) {
	for _, percent := range []int64{0, 50, 70, 85, 90} {
		b := budget.New(testLimits())
		require.True(t, b.Take(b.Open(start, budget.ClassCalls), budget.ItemBody, percent<<20/100-20<<10))
		id := b.Open(start, budget.ClassReadiness)
		for n := range 2000 {
			require.True(t, b.Take(id, budget.ItemHead, 300), "check %d beside bodies of %d %%", n, percent)
			require.True(t, b.Take(id, budget.ItemField, 5))
			b.Discard(id)
			if b.CollectionDue() {
				b.Collected(b.NextBatch())
			}
		}
	}
}
