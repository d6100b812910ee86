package spread_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/spread"
)

var start = time.Unix(1e6, 0)

func pool(local, remote int) *spread.Pool {
	p := new(spread.Pool)
	for i := range local + remote {
		p.Add(&spread.Server{ID: ident.ServerID("s" + strconv.Itoa(i)), Local: i < local, State: spread.NewServerState(start)})
	}
	return p
}

// Guards against candidates that are chosen twice, were tried before, or are remote without need.
func TestSample(t *testing.T) {
	tests := []struct {
		name                    string
		local, remote           int
		askLocal, askRemote     int
		wantLocal, wantRemote   int
		localInBackoff, slowAll bool
	}{
		{name: "local only", local: 5, remote: 5, askLocal: 3, wantLocal: 3},
		{name: "few local", local: 2, remote: 5, askLocal: 3, wantLocal: 2},
		{name: "no local", remote: 5, askLocal: 3, wantRemote: 3},
		{name: "both", local: 5, remote: 5, askLocal: 2, askRemote: 2, wantLocal: 2, wantRemote: 2},
		{name: "local in backoff", local: 2, remote: 5, askLocal: 2, wantRemote: 2, localInBackoff: true},
		{name: "all in backoff", local: 2, askLocal: 2, wantLocal: 2, localInBackoff: true},
		{name: "all slow", local: 4, askLocal: 2, wantLocal: 2, slowAll: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(50) {
				p := pool(tt.local, tt.remote)
				for _, s := range p.Local {
					if tt.localInBackoff {
						s.State.RecordNoReply(start)
					}
					if tt.slowAll {
						s.State.RecordReply(start, spread.LoadReport{Slots: 4, Slowness: 4000})
					}
				}
				got := p.Sample(nil, tt.askLocal, tt.askRemote, start, rand.New(rand.NewPCG(seed, 1)))
				seen := make(map[ident.ServerID]bool)
				localCount := 0
				for _, s := range got {
					require.False(t, seen[s.ID], "chosen twice")
					seen[s.ID] = true
					if s.Local {
						localCount++
					}
				}
				require.Equal(t, tt.wantLocal, localCount)
				require.Equal(t, tt.wantRemote, len(got)-localCount)
			}
		})
	}
}

// Guards against a retry at a server that the call was sent to before.
func TestSampleExcludesTriedServers(t *testing.T) {
	p := pool(3, 0)
	got := p.Sample([]*spread.Server{p.Local[0], p.Local[2]}, 3, 3, start, rand.New(rand.NewPCG(1, 1)))
	require.Len(t, got, 3)
	require.Same(t, p.Local[1], got[2])
}

// Guards against a slow or saturated server that scores better than an idle one.
func TestSlowdownRisesWithLoad(t *testing.T) {
	idle := spread.LoadReport{Slots: 4, Slowness: spread.NormalSlowness}
	busy, saturated, slow, full := idle, idle, idle, idle
	busy.Running, saturated.Running, slow.Slowness = 2, 3, 4000
	full.Running, full.Waiting = 4, 2
	reports := []spread.LoadReport{idle, busy, saturated, slow, full}
	for i := range reports[1:] {
		require.Less(t, reports[i].Slowdown(), reports[i+1].Slowdown())
	}
	require.False(t, busy.Saturated())
	require.True(t, saturated.Saturated())
	require.True(t, spread.LoadReport{Slots: 3, Running: 2}.Saturated())
	require.False(t, spread.LoadReport{Slots: 1}.Saturated(), "a server with one slot never gets a call")
}

// Guards against more calls to the canary pool than its share.
func TestTrialLimiterBoundsTrialCalls(t *testing.T) {
	l := spread.NewTrialLimiter(50, 2)
	allowed := 0
	for range 1000 {
		l.RecordCall()
		if l.Allow() {
			allowed++
		}
	}
	require.Equal(t, 52, allowed)
}

// Guards against two calls to a cold server within its interval, and against calls by instances without one.
func TestAllowColdCall(t *testing.T) {
	m := spread.NewServerState(start)
	require.False(t, m.AllowColdCall(start, 0))
	require.True(t, m.AllowColdCall(start, time.Second))
	require.False(t, m.AllowColdCall(start.Add(900*time.Millisecond), time.Second))
	require.True(t, m.AllowColdCall(start.Add(time.Second), time.Second))
}

// Guards against a server that stays in backoff or keeps its failure score long after it recovered.
func TestServerStateExpires(t *testing.T) {
	m := spread.NewServerState(start)
	for range 20 {
		m.RecordNoReply(start)
		m.RecordFailure(start, 1)
	}
	require.True(t, m.InBackoff(start.Add(time.Second)))
	require.False(t, m.InBackoff(start.Add(3*time.Second)))
	require.Greater(t, m.FailureScore(start), 5.0)
	require.Less(t, m.FailureScore(start.Add(10*time.Second)), 0.1)
}

// Guards against servers that are chosen although they are leaving or have asked for a pause, also when no other server
// is left.
func TestSampleExcludesUnavailableServers(t *testing.T) {
	p := pool(2, 2)
	rng := rand.New(rand.NewPCG(1, 1))
	_, unavailable := p.Unavailable(start)
	require.False(t, unavailable)
	p.Local[0].State.RecordNotice(start, notice.Notice{Leaving: true})
	p.Local[1].State.RecordNotice(start, notice.Notice{Pause: time.Second})
	p.Remote[0].State.RecordNotice(start, notice.Notice{Pause: 2 * time.Second})
	require.Equal(t, []*spread.Server{p.Remote[1]}, p.Sample(nil, 4, 4, start, rng))
	p.Remote[1].State.RecordNotice(start, notice.Notice{Pause: 3 * time.Second})
	require.Empty(t, p.Sample(nil, 4, 4, start, rng))
	after, unavailable := p.Unavailable(start)
	require.True(t, unavailable)
	require.Equal(t, time.Second, after)
	require.Equal(t, []*spread.Server{p.Local[1]}, p.Sample(nil, 4, 4, start.Add(time.Second), rng))
}
