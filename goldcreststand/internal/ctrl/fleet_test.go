package ctrl

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// fleet runs the control states of four instances in virtual time and delivers their reports and warm
// queries.
type fleet struct {
	states []*state
	rng    *rand.Rand
	// failingVersion names the version whose calls fail.
	failingVersion ident.VersionName
	// calls counts the calls to each version in the last round.
	calls map[ident.VersionName]int
}

func newFleet(l *roster.ServerList, t *table.Table) *fleet {
	f := &fleet{states: newFleetStates(4, l, t), rng: rand.New(rand.NewPCG(1, 1))}
	for _, st := range f.states {
		st.now = time.Unix(1e6, 0)
		for i, inst := range st.instances {
			st.peers[inst.ID] = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))
		}
	}
	return f
}

// round runs one tick: each instance sends as many calls as its snapshot allows, at most eight, and reports
// their outcomes to control.
func (f *fleet) round() {
	f.calls = make(map[ident.VersionName]int)
	for i, st := range f.states {
		st.now, st.elapsed = st.now.Add(tickInterval), st.elapsed+tickInterval
		var batch []route.TryOutcome
		svc := st.snapshot().Services["svc"]
		for k := range 8 {
			v := svc.PickVersion(f.rng)
			if v == nil || len(v.Servers) == 0 {
				continue
			}
			o := route.TryOutcome{
				Service: "svc", Server: v.Servers[k%len(v.Servers)].ID, Version: v.Name, Route: "r", Start: st.now, Latency: time.Millisecond,
			}
			if v.Name == f.failingVersion {
				o.Result = route.ResultFailed
			}
			f.calls[v.Name]++
			batch = append(batch, o)
		}
		OutcomesReported{Outcomes: batch}.apply(st)
		f.deliver(i, tick{}.apply(st))
	}
}

func (f *fleet) deliver(from int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendReport:
			for _, to := range a.To {
				ReportReceived{Report: a.Report}.apply(f.states[to.Port()])
			}
		case SendWarmQuery:
			reply := make(chan []health.ServerIncarnation, 1)
			WarmQueryReceived{Service: a.Service, Servers: a.Servers, Reply: reply}.apply(f.states[a.To.Port()])
			WarmReplyReceived{Service: a.Service, Servers: <-reply}.apply(f.states[from])
		}
	}
}

// Guards against faults in how the parts of control work together: warm-up by the owner of the slots, rollout
// stages based on the outcomes of all instances, and a rollback that reaches all instances within 2 s.
func TestFleetRolloutAndRollback(t *testing.T) {
	for _, failingVersion := range []ident.VersionName{"", "v2"} {
		l := newServerList(16, 4)
		for i := range l.Servers {
			l.Servers[i].Version = []ident.VersionName{"v1", "v2"}[i/8]
		}
		rows := []table.Row{{Kind: table.KindVersion, Name: "v1", Weight: 100}}
		f := newFleet(l, &table.Table{Service: "svc", Revision: 1, Rows: rows})
		for range 100 {
			f.round()
		}
		require.Zero(t, f.calls["v2"], "no calls before the rollout")
		f.failingVersion = failingVersion
		for _, st := range f.states {
			TableReceived{Table: &table.Table{Service: "svc", Revision: 2, Rows: rows, Rollout: &table.RolloutSpec{
				Attempt: 1, From: "v1", To: "v2", Deadline: st.now.Add(2 * time.Minute),
			}}}.apply(st)
		}
		outcome := func(st *state) table.Outcome {
			s, _ := st.services["svc"].backends.rollout.Status()
			return s.Outcome
		}
		finished := func(st *state) bool { return outcome(st) != table.OutcomeRunning }
		for range 1200 {
			if f.round(); slices.ContainsFunc(f.states, finished) {
				break
			}
		}
		for range 20 {
			f.round()
		}
		want, unused := table.OutcomeDone, ident.VersionName("v1")
		if failingVersion != "" {
			want, unused = table.OutcomeReverted, failingVersion
		}
		for _, st := range f.states {
			require.Equal(t, want.String(), outcome(st).String(), st.self.ID)
			require.Equal(t, want, st.services["svc"].status.Outcome)
		}
		require.Zero(t, f.calls[unused])
	}
}
