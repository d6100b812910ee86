package ctrl

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// warmUp reports enough successful calls at all servers to end their warm-up.
func warmUp(st *state, l *roster.ServerList) {
	st.snapshot()
	for _, b := range l.Servers {
		var batch []route.TryOutcome
		for range 100 {
			batch = append(batch, route.TryOutcome{Service: l.Service, Server: b.ID, Version: b.Version, Route: "r", Start: st.now, Latency: time.Millisecond})
		}
		OutcomesReported{Outcomes: batch}.apply(st)
	}
}

// newRolloutState returns the state of a single instance with three warm servers of each of two versions and
// a rollout in progress.
func newRolloutState() *state {
	l := newServerList(6, 4)
	for i := range l.Servers {
		l.Servers[i].Version = []ident.VersionName{"v1", "v2"}[i%2]
		l.Servers[i].Address = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	}
	st := newState(Self{ID: "i0", InstancesPerService: 4, Dist: dist.DefaultConfig(4), Probe: ProbeBudget{Rate: 0.5, Bytes: 150}})
	st.now = time.Unix(1e6, 0)
	TableReceived{Table: &table.Table{Service: "svc", Revision: 1}}.apply(st)
	ServerListReceived{ServerList: l}.apply(st)
	warmUp(st, l)
	advance(st, 10*time.Second)
	TableReceived{Table: &table.Table{Service: "svc", Revision: 2, Rollout: &table.RolloutSpec{
		Attempt: 1, From: "v1", To: "v2", Deadline: st.now.Add(10 * time.Minute),
	}}}.apply(st)
	advance(st, 100*time.Millisecond)
	return st
}

// advance runs ticks for the duration and returns their actions.
func advance(st *state, d time.Duration) []Action {
	var out []Action
	for at := time.Duration(0); at < d; at += tickInterval {
		st.now, st.elapsed = st.now.Add(tickInterval), st.elapsed+tickInterval
		out = append(out, tick{}.apply(st)...)
		st.snapshot()
	}
	return out
}

func versionWeights(st *state) map[ident.VersionName]ident.Weight {
	out := make(map[ident.VersionName]ident.Weight)
	for _, v := range st.snapshot().Services["svc"].Versions {
		out[v.Name] = v.Weight
	}
	return out
}

func reportCalls(st *state, id ident.ServerID, v ident.VersionName, n int, r route.Result) {
	for range n {
		OutcomesReported{Outcomes: []route.TryOutcome{{
			Service: "svc", Server: id, Version: v, Route: "r", Result: r, Start: st.now, Latency: time.Millisecond,
		}}}.apply(st)
	}
}

// Guards against weights that ignore the rollout stage, and against calls to a version that was rolled back.
func TestVersionWeightsFollowRollout(t *testing.T) {
	st := newRolloutState()
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 990, "v2": 10}, versionWeights(st))
	for range 10 {
		reportCalls(st, "s0", "v1", 100, route.ResultOK)
		reportCalls(st, "s1", "v2", 2, route.ResultFailed)
		reportCalls(st, "s3", "v2", 2, route.ResultFailed)
		advance(st, 500*time.Millisecond)
	}
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 1000}, versionWeights(st))
	advance(st, 10*time.Second)
	require.Equal(t, table.OutcomeReverted, st.services["svc"].status.Outcome)
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 1000}, versionWeights(st))
}

// Guards against calls to the servers of a version before its rollout starts, and against a service that gets
// no calls when neither version of the last rollout has servers.
func TestOnlyVersionsOfRolloutTakeCalls(t *testing.T) {
	rows := []table.Row{{Kind: table.KindVersion, Name: "v1", Weight: 100}}
	rollout := &table.RolloutSpec{Attempt: 1, From: "v0", To: "v1", Deadline: time.Unix(2e6, 0)}
	unrelated := &table.RolloutSpec{Attempt: 1, From: "v8", To: "v9", Deadline: time.Unix(2e6, 0)}
	for _, tc := range []struct {
		name  string
		table table.Table
		want  map[ident.VersionName]ident.Weight
	}{
		{"no rows", table.Table{}, map[ident.VersionName]ident.Weight{"v1": 1000, "v2": 1000}},
		{"row", table.Table{Rows: rows}, map[ident.VersionName]ident.Weight{"v1": 1000}},
		{"rollout", table.Table{Rollout: rollout}, map[ident.VersionName]ident.Weight{"v1": 1000}},
		{"rollout of versions without servers", table.Table{Rollout: unrelated}, map[ident.VersionName]ident.Weight{"v1": 1000, "v2": 1000}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := newRolloutState()
			s := st.services["svc"]
			s.backends.rollout = canary.NewRollout("svc", "i0", st.now)
			tc.table.Service, tc.table.Revision = "svc", 3
			TableReceived{Table: &tc.table}.apply(st)
			advance(st, 200*time.Millisecond)
			require.Equal(t, tc.want, versionWeights(st))
		})
	}
}

// Guards against the new version getting all calls when no server of the old one accepts calls.
func TestOldVersionKeepsItsShare(t *testing.T) {
	st := newRolloutState()
	for _, id := range []ident.ServerID{"s0", "s2", "s4"} {
		ProbeCompleted{Service: "svc", Result: health.ProbeResult{Server: id, Draining: true}}.apply(st)
	}
	advance(st, 200*time.Millisecond)
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 990, "v2": 10}, versionWeights(st))
}

// Guards against a resumed instance that acts on its outdated rollout status or does not learn the newer
// status from a peer.
func TestResumedInstanceWithholdsNewVersion(t *testing.T) {
	st := newRolloutState()
	st.instances = append(st.instances, place.Instance{ID: "i1", Domain: "d1"})
	st.now = st.now.Add(time.Minute)
	st.resume()
	st.snapshot()
	advance(st, 300*time.Millisecond)
	require.Zero(t, versionWeights(st)["v2"])
	ReportReceived{Report: RolloutReport{Sender: "i1", Report: canary.Report{
		Status: table.RolloutStatus{Service: "svc", Attempt: 1, Outcome: table.OutcomeReverted},
	}}}.apply(st)
	advance(st, 10*time.Second)
	require.Zero(t, versionWeights(st)["v2"])
}

// Guards against new calls to servers that fail or drain, and against more than one concurrent call to
// servers in warm-up.
func TestHealthLimitsSharesInSnapshot(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(st *state)
		share ident.Slots
	}{
		{"warm", func(*state) {}, 4},
		{"fails", func(st *state) { reportCalls(st, "s0", "v1", 5, route.ResultFailed) }, 0},
		{"drains", func(st *state) {
			ProbeCompleted{Service: "svc", Result: health.ProbeResult{Server: "s0", Draining: true}}.apply(st)
		}, 0},
		{"restarted", func(st *state) {
			l := *st.services["svc"].serverList
			l.Revision++
			l.Servers = append([]roster.Server(nil), l.Servers...)
			l.Servers[0].Incarnation++
			ServerListReceived{ServerList: &l}.apply(st)
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := newRolloutState()
			tc.event(st)
			var share ident.Slots
			for _, srv := range st.snapshot().Services["svc"].Servers {
				if srv.ID == "s0" {
					share = srv.MaxInflight
				}
			}
			require.Equal(t, tc.share, share)
		})
	}
}

// Guards against idle servers that drain unnoticed because they are not probed, and against a warm reply for
// a previous incarnation of a server.
func TestProbesAndWarmQueries(t *testing.T) {
	st := newRolloutState()
	probed := make(map[ident.ServerID]int)
	for _, a := range advance(st, 30*time.Second) {
		if p, ok := a.(SendProbe); ok {
			probed[p.Server]++
			require.True(t, p.Address.IsValid())
			ProbeCompleted{Service: "svc", Result: health.ProbeResult{Server: p.Server}, Bytes: 200}.apply(st)
		}
	}
	require.Len(t, probed, 6)
	reply := make(chan []health.ServerIncarnation, 1)
	reportCalls(st, "s0", "v1", 1, route.ResultOK)
	WarmQueryReceived{Service: "svc", Servers: []health.ServerIncarnation{{Server: "s0"}, {Server: "s0", Incarnation: 1}, {Server: "s1"}}, Reply: reply}.apply(st)
	require.Equal(t, []health.ServerIncarnation{{Server: "s0"}}, <-reply)
}
