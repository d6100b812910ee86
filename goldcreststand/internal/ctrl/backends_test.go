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

// warm lets the instance see enough good calls at all servers to end their warm-up.
func warm(st *state, l *roster.ServerList) {
	st.snapshot()
	for _, b := range l.Servers {
		var batch []route.TryOutcome
		for range 100 {
			batch = append(batch, route.TryOutcome{Service: l.Service, Server: b.ID, Version: b.Version, Route: "r", Start: st.now, Latency: time.Millisecond})
		}
		OutcomesSeen{Outcomes: batch}.apply(st)
	}
}

// rollout returns the state of a lone instance with three warm servers of each of two versions.
func rollout() *state {
	l := listing(6, 4)
	for i := range l.Servers {
		l.Servers[i].Version = []ident.VersionName{"v1", "v2"}[i%2]
		l.Servers[i].Address = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	}
	st := newState(Self{ID: "i0", Count: 4, Dist: dist.DefaultConfig(4), Probe: ProbeBudget{Rate: 0.5, Bytes: 150}})
	st.now = time.Unix(1e6, 0)
	TableSeen{Table: &table.Table{Service: "svc", Revision: 1}}.apply(st)
	ListingSeen{Listing: l}.apply(st)
	warm(st, l)
	pass(st, 10*time.Second)
	TableSeen{Table: &table.Table{Service: "svc", Revision: 2, Rollout: &table.RolloutSpec{
		Attempt: 1, From: "v1", To: "v2", Deadline: st.now.Add(10 * time.Minute),
	}}}.apply(st)
	pass(st, 100*time.Millisecond)
	return st
}

// pass lets time act and returns the actions.
func pass(st *state, d time.Duration) []Action {
	var out []Action
	for at := time.Duration(0); at < d; at += tickInterval {
		st.now, st.boot = st.now.Add(tickInterval), st.boot+tickInterval
		out = append(out, tick{}.apply(st)...)
		st.snapshot()
	}
	return out
}

func weights(st *state) map[ident.VersionName]ident.Weight {
	out := make(map[ident.VersionName]ident.Weight)
	for _, v := range st.snapshot().Services["svc"].Versions {
		out[v.Name] = v.Weight
	}
	return out
}

func calls(st *state, id ident.ServerID, v ident.VersionName, n int, r route.Result) {
	for range n {
		OutcomesSeen{Outcomes: []route.TryOutcome{{
			Service: "svc", Server: id, Version: v, Route: "r", Result: r, Start: st.now, Latency: time.Millisecond,
		}}}.apply(st)
	}
}

// Guards against weights that do not follow the stage, and against calls to a version that was rolled
// back.
func TestVersionWeightsFollowRollout(t *testing.T) {
	st := rollout()
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 990, "v2": 10}, weights(st))
	for range 10 {
		calls(st, "s0", "v1", 100, route.ResultOK)
		calls(st, "s1", "v2", 2, route.ResultFailed)
		calls(st, "s3", "v2", 2, route.ResultFailed)
		pass(st, 500*time.Millisecond)
	}
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 1000}, weights(st))
	pass(st, 10*time.Second)
	require.Equal(t, table.OutcomeReverted, st.services["svc"].status.Outcome)
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 1000}, weights(st))
}

// Guards against calls to the servers of a version that started before its rollout, and against a service
// without calls when neither version of the last rollout has servers.
func TestOnlyVersionsOfRolloutTakeCalls(t *testing.T) {
	rows := []table.Row{{Kind: table.KindVersion, Name: "v1", Weight: 100}}
	move := &table.RolloutSpec{Attempt: 1, From: "v0", To: "v1", Deadline: time.Unix(2e6, 0)}
	third := &table.RolloutSpec{Attempt: 1, From: "v8", To: "v9", Deadline: time.Unix(2e6, 0)}
	for _, tc := range []struct {
		name  string
		table table.Table
		want  map[ident.VersionName]ident.Weight
	}{
		{"no rows", table.Table{}, map[ident.VersionName]ident.Weight{"v1": 1000, "v2": 1000}},
		{"row", table.Table{Rows: rows}, map[ident.VersionName]ident.Weight{"v1": 1000}},
		{"rollout", table.Table{Rollout: move}, map[ident.VersionName]ident.Weight{"v1": 1000}},
		{"rollout of versions without servers", table.Table{Rollout: third}, map[ident.VersionName]ident.Weight{"v1": 1000, "v2": 1000}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := rollout()
			s := st.services["svc"]
			s.backends.rollout = canary.NewRollout("svc", "i0", st.now)
			tc.table.Service, tc.table.Revision = "svc", 3
			TableSeen{Table: &tc.table}.apply(st)
			pass(st, 200*time.Millisecond)
			require.Equal(t, tc.want, weights(st))
		})
	}
}

// Guards against a new version that gets all calls when no server of the old one takes work.
func TestOldVersionKeepsItsShare(t *testing.T) {
	st := rollout()
	for _, id := range []ident.ServerID{"s0", "s2", "s4"} {
		Probed{Service: "svc", Report: health.ProbeResult{Server: id, Draining: true}}.apply(st)
	}
	pass(st, 200*time.Millisecond)
	require.Equal(t, map[ident.VersionName]ident.Weight{"v1": 990, "v2": 10}, weights(st))
}

// Guards against a paused instance that acts on its old rollout status, and against one that does not
// learn the newer status from a peer.
func TestResumedInstanceWithholdsNewVersion(t *testing.T) {
	st := rollout()
	st.nodes = append(st.nodes, place.Instance{ID: "i1", Domain: "d1"})
	st.now = st.now.Add(time.Minute)
	st.resume()
	st.snapshot()
	pass(st, 300*time.Millisecond)
	require.Zero(t, weights(st)["v2"])
	ReportSeen{Report: Report{Sender: "i1", Report: canary.Report{
		Status: table.RolloutStatus{Service: "svc", Attempt: 1, Outcome: table.OutcomeReverted},
	}}}.apply(st)
	pass(st, 10*time.Second)
	require.Zero(t, weights(st)["v2"])
}

// Guards against new work at servers that fail or drain, and against servers in warm-up that get more
// than one call.
func TestVerdictsReachSnapshot(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(st *state)
		share ident.Slots
	}{
		{"warm", func(*state) {}, 4},
		{"fails", func(st *state) { calls(st, "s0", "v1", 5, route.ResultFailed) }, 0},
		{"drains", func(st *state) {
			Probed{Service: "svc", Report: health.ProbeResult{Server: "s0", Draining: true}}.apply(st)
		}, 0},
		{"restarted", func(st *state) {
			l := *st.services["svc"].listing
			l.Revision++
			l.Servers = append([]roster.Server(nil), l.Servers...)
			l.Servers[0].Incarnation++
			ListingSeen{Listing: &l}.apply(st)
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := rollout()
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

// Guards against idle servers whose drain nobody notices, and against warmth that is reported for an
// earlier life of a server.
func TestProbesAndQuestions(t *testing.T) {
	st := rollout()
	probed := make(map[ident.ServerID]int)
	for _, a := range pass(st, 30*time.Second) {
		if p, ok := a.(Probe); ok {
			probed[p.Server]++
			require.True(t, p.Address.IsValid())
			Probed{Service: "svc", Report: health.ProbeResult{Server: p.Server}, Bytes: 200}.apply(st)
		}
	}
	require.Len(t, probed, 6)
	reply := make(chan []health.ServerIncarnation, 1)
	calls(st, "s0", "v1", 1, route.ResultOK)
	WarmAsked{Service: "svc", Lives: []health.ServerIncarnation{{Server: "s0"}, {Server: "s0", Incarnation: 1}, {Server: "s1"}}, Reply: reply}.apply(st)
	require.Equal(t, []health.ServerIncarnation{{Server: "s0"}}, <-reply)
}
