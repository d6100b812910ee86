package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/route"
)

func pickers() map[string]route.Picker {
	return map[string]route.Picker{
		"proportional": route.Proportional{}, "leastcost": route.LeastCost{}, "leastinflight": route.LeastInflight{},
		"twochoices": route.TwoChoices{}, "roundrobin": new(route.RoundRobin), "random": route.Random{},
	}
}

func servers(n int, share ident.Slots) []*route.Server {
	out := make([]*route.Server, n)
	for i := range out {
		out[i] = &route.Server{ID: ident.ServerID(fmt.Sprintf("s%d", i)), Version: "v1", Weight: route.DefaultWeight, MaxInflight: share, Load: new(route.ServerLoad)}
	}
	return out
}

func newRng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a call to a server that has weight 0 or is at its slot limit, and against a rejection
// although a slot is free.
func TestPickKeepsWithinSlotLimits(t *testing.T) {
	for name, p := range pickers() {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			list := servers(rapid.IntRange(0, 70).Draw(t, "servers"), 0)
			for _, s := range list {
				s.MaxInflight = ident.Slots(rapid.IntRange(0, 3).Draw(t, "share"))
				s.Weight = ident.Weight(rapid.SampledFrom([]int{0, 1, 100, 10000}).Draw(t, "weight"))
			}
			rng, now := newRng(), time.Second
			held := make(map[*route.Server]ident.Slots)
			for range rapid.IntRange(1, 60).Draw(t, "calls") {
				now += time.Millisecond
				free := 0
				for _, s := range list {
					if s.Weight > 0 && held[s] < s.MaxInflight {
						free++
					}
				}
				s := p.Pick(list, now, rng)
				require.Equal(t, free > 0, s != nil)
				if s == nil {
					break
				}
				held[s]++
				require.Positive(t, s.Weight)
				require.LessOrEqual(t, held[s], s.MaxInflight)
				require.Equal(t, held[s], s.Load.Inflight())
				if rapid.Bool().Draw(t, "ends") {
					held[s]--
					s.Load.Release()
					s.Load.Observe(now, time.Duration(rapid.IntRange(0, 500).Draw(t, "ms"))*time.Millisecond, rapid.SampledFrom(route.ResultValues()).Draw(t, "result"))
					s.Load.ObserveReport(now, ident.Slots(rapid.IntRange(-2, 9).Draw(t, "inflight")), ident.Slots(rapid.IntRange(0, 4).Draw(t, "slots")))
				}
			}
		}))
	}
}

// callsPerServer returns how many of n calls each server gets. The calls end at once and are not observed.
func callsPerServer(p route.Picker, list []*route.Server, n int, now time.Duration) map[ident.ServerID]int {
	out, rng := make(map[ident.ServerID]int), newRng()
	for range n {
		s := p.Pick(list, now, rng)
		out[s.ID]++
		s.Load.Release()
	}
	return out
}

// Guards against further traffic to a server that is slow, fails fast or reports full load.
func TestProportionalAvoidsBadServers(t *testing.T) {
	const calls = 10000
	now := time.Minute
	for _, c := range []struct {
		name     string
		degrade  func(l *route.ServerLoad)
		maxCalls int
	}{
		{"slow", func(l *route.ServerLoad) { l.Observe(now, 50*time.Millisecond, route.ResultOK) }, calls / 1000},
		{"fails fast", func(l *route.ServerLoad) { l.Observe(now, 100*time.Microsecond, route.ResultFailed) }, calls / 1000},
		{"sheds", func(l *route.ServerLoad) { l.Observe(now, 100*time.Microsecond, route.ResultShed) }, calls / 1000},
		{"reports full", func(l *route.ServerLoad) { l.ObserveReport(now, 4, 4) }, calls / 100},
		{"reports nonsense", func(l *route.ServerLoad) { l.ObserveReport(now, -1000, 4) }, calls / 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := servers(10, 2)
			for _, s := range list {
				s.Load.Observe(now, 5*time.Millisecond, route.ResultOK)
			}
			c.degrade(list[0].Load)
			require.LessOrEqual(t, callsPerServer(route.Proportional{}, list, calls, now)["s0"], c.maxCalls)
		})
	}
}

// Guards against a slow server that gets traffic until its response arrives: unanswered calls in flight
// must raise its cost within milliseconds.
func TestMissingResponsesRevealSlowServer(t *testing.T) {
	list, now := servers(2, 4), time.Minute
	for _, s := range list {
		s.Load.Observe(now, 5*time.Millisecond, route.ResultOK)
	}
	require.NotNil(t, route.Proportional{}.Pick(list[:1], now, newRng()))
	n := callsPerServer(route.Proportional{}, list, 1000, now+30*time.Millisecond)
	require.LessOrEqual(t, n["s0"], 5)
}

// Guards against a server that gets no more traffic after a single slow call.
func TestLatencyDecays(t *testing.T) {
	l, now := new(route.ServerLoad), time.Minute
	for range 50 {
		l.Observe(now, 5*time.Millisecond, route.ResultOK)
	}
	l.Observe(now, 80*time.Millisecond, route.ResultOK)
	require.Equal(t, 80*time.Millisecond, l.Latency(now))
	require.Less(t, l.Latency(now+time.Second), 11*time.Millisecond)
}

// Guards against equally fast servers whose traffic is not proportional to their weights.
func TestProportionalKeepsWeights(t *testing.T) {
	const calls = 20000
	list := servers(3, 4)
	list[0].Weight = 50
	n := callsPerServer(route.Proportional{}, list, calls, time.Minute)
	p := 50.0 / 250
	require.InDelta(t, p*calls, n["s0"], 5*math.Sqrt(calls*p*(1-p)))
}

// Guards against memory allocations in Pick.
func TestPickDoesNotAllocate(t *testing.T) {
	list, rng := servers(20, 4), newRng()
	for name, p := range pickers() {
		require.Zero(t, testing.AllocsPerRun(100, func() { p.Pick(list, time.Minute, rng).Load.Release() }), name)
	}
}

func BenchmarkPick(b *testing.B) {
	for name, p := range pickers() {
		b.Run(name, func(b *testing.B) {
			list, rng := servers(20, 4), newRng()
			for i, s := range list {
				s.Load.Observe(time.Minute, time.Duration(i)*time.Millisecond, route.ResultOK)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(list, time.Minute, rng).Load.Release()
			}
		})
	}
}
