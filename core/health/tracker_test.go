package health_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcreststand.example/core/health"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
)

// Guards against more calls in flight at a server in warm-up than it can take, while servers restart
// and instances crash, start, pause and disagree about members during the 3 s of failure detection.
func TestWarmUpNeverOverloads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), 4, 8)
		for range 60 {
			in := w.instances[rapid.IntRange(0, 3).Draw(t, "instance")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if in.alive {
					in.alive, w.changed[in.id] = false, w.now
				} else {
					w.startInstance(in)
				}
			case 1:
				if in.alive && in.paused <= 0 {
					in.paused = time.Duration(rapid.IntRange(25, 200).Draw(t, "pause")) * step
					w.changed[in.id] = w.now
				}
			case 2, 3:
				w.restart(w.ids[rapid.IntRange(0, len(w.ids)-1).Draw(t, "server")])
				for _, o := range w.instances {
					if o.alive && o.paused <= 0 {
						w.deliverServerList(o)
					}
				}
			}
			for range 20 {
				w.advance()
				for _, o := range w.instances {
					ejected, total := o.tracker.EjectedServers()
					if 2*ejected > total {
						t.Fatalf("%d of %d servers ejected", ejected, total)
					}
				}
			}
			if w.overloads > 0 {
				t.Fatalf("%d calls beyond the capacity of a server in warm-up", w.overloads)
			}
		}
	})
}

// Guards against servers that never leave warm-up, and against a slow start of a whole service.
func TestAllInstancesUseWarmServers(t *testing.T) {
	w := newSimulation(3, 4, 8)
	for range 400 {
		w.advance()
	}
	for _, in := range w.instances {
		for _, id := range w.ids {
			require.Equal(t, health.StateActive, in.tracker.Status(id, w.now).State, "%s %s", in.id, id)
		}
	}
	w.restart("s0")
	for _, in := range w.instances {
		w.deliverServerList(in)
	}
	from, active := w.now, 0
	for active < len(w.instances) && w.now.Sub(from) < time.Minute {
		w.advance()
		active = 0
		for _, in := range w.instances {
			if in.tracker.Status("s0", w.now).State == health.StateActive {
				active++
				t.Logf("%s uses the restarted server after %v", in.id, w.now.Sub(from))
			}
		}
	}
	require.Equal(t, len(w.instances), active)
	require.Zero(t, w.overloads)
}

// Guards against a server that fails fast and attracts traffic, and against the ejection of more than
// half of the servers when most fail.
func TestEjectionBounds(t *testing.T) {
	for _, failing := range []int{1, 3, 8} {
		w := newSimulation(4, 4, 8)
		for range 400 {
			w.advance()
		}
		for i := range failing {
			w.broken[w.ids[i]] = true
		}
		clear(w.sent)
		for range 100 {
			w.advance()
			for _, in := range w.instances {
				ejected, _ := in.tracker.EjectedServers()
				require.LessOrEqual(t, ejected, 4)
			}
		}
		for i := range failing {
			// Its share of the calls would be 300; five failures eject it at each of the four
			// instances.
			if failing < 4 {
				require.Less(t, w.sent[w.ids[i]], 60)
			}
		}
	}
}

// loneTracker is the tracker of an instance that is the only one.
type loneTracker struct {
	*health.Tracker
	now time.Time
	l   *roster.ServerList
}

// newLoneTracker returns a loneTracker with n warm servers in four domains.
func newLoneTracker(n int) *loneTracker {
	s := &loneTracker{
		Tracker: health.New("s", "i", rand.New(rand.NewPCG(1, 1)), health.WithWarmupDelay(0)),
		now:     time.Unix(1e6, 0), l: &roster.ServerList{Service: "s"},
	}
	for i := range n {
		s.l.Servers = append(s.l.Servers, roster.Server{
			ID: ident.ServerID('a' + rune(i)), Slots: 4, Incarnation: 1, Domain: ident.DomainName('0' + rune(i%4)),
		})
	}
	s.SetServerList(s.l, s.now)
	s.SetHolders(func(ident.ServerID) []ident.InstanceID { return []ident.InstanceID{"i"} }, s.now)
	for _, srv := range s.l.Servers {
		s.calls(srv.ID, 60, route.ResultOK, 5*time.Millisecond)
	}
	return s
}

func (s *loneTracker) calls(id ident.ServerID, n int, r route.Result, latency time.Duration) {
	for range n {
		s.now = s.now.Add(10 * time.Millisecond)
		s.Observe([]route.TryOutcome{{Service: "s", Server: id, Result: r, Start: s.now, Latency: latency}}, s.now)
	}
}

func (s *loneTracker) state(id ident.ServerID) health.State { return s.Status(id, s.now).State }

// Guards against a wrong state or limit after a single kind of event.
func TestStateAndLimitAfterEvents(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		event func(s *loneTracker)
		state health.State
		limit ident.Slots
	}{
		{"warm", func(*loneTracker) {}, health.StateActive, 4},
		{"draining in the list", func(s *loneTracker) { s.l.Servers[0].Draining = true; s.SetServerList(s.l, s.now) }, health.StateDraining, 0},
		{"probe reports draining", func(s *loneTracker) { s.ObserveProbe(health.ProbeResult{Server: "a", Draining: true}, s.now) }, health.StateDraining, 0},
		{"response reports draining", func(s *loneTracker) {
			s.Observe([]route.TryOutcome{{Service: "s", Server: "a", Draining: true, Start: s.now}}, s.now)
		}, health.StateDraining, 0},
		{"restarted", func(s *loneTracker) { s.l.Servers[0].Incarnation = 2; s.SetServerList(s.l, s.now) }, health.StateWarming, 1},
		{"late outcome of an earlier incarnation", func(s *loneTracker) {
			s.l.Servers[0].Incarnation = 2
			old := s.now
			s.now = s.now.Add(ms)
			s.SetServerList(s.l, s.now)
			for range 50 {
				s.Observe([]route.TryOutcome{{Service: "s", Server: "a", Start: old}}, s.now)
			}
		}, health.StateWarming, 1},
		{"suddenly slow", func(s *loneTracker) { s.calls("a", 4, route.ResultOK, 50*ms) }, health.StateWarming, 1},
		{"slow like its peers", func(s *loneTracker) {
			for range 20 {
				for _, id := range []ident.ServerID{"b", "c", "d", "e", "f", "g", "h", "a"} {
					s.calls(id, 1, route.ResultOK, 15*ms)
				}
			}
		}, health.StateActive, 4},
		{"five failures", func(s *loneTracker) { s.calls("a", 5, route.ResultFailed, ms) }, health.StateEjected, 0},
		{"refused once", func(s *loneTracker) { s.calls("a", 1, route.ResultRefused, ms) }, health.StateWarming, 1},
		{"sheds load", func(s *loneTracker) { s.calls("a", 10, route.ResultShed, ms) }, health.StateActive, 1},
		{"successful probes do not outweigh failures", func(s *loneTracker) {
			for range 5 {
				s.calls("a", 1, route.ResultFailed, ms)
				s.ObserveProbe(health.ProbeResult{Server: "a", Slots: 4, Start: s.now}, s.now)
			}
		}, health.StateEjected, 0},
		{"fewer slots reported", func(s *loneTracker) { s.ObserveProbe(health.ProbeResult{Server: "a", Slots: 2}, s.now) }, health.StateActive, 2},
		{"failed probes alongside successful calls", func(s *loneTracker) {
			for range 5 {
				s.calls("a", 1, route.ResultOK, 5*ms)
				s.ObserveProbe(health.ProbeResult{Server: "a", Failed: true, Start: s.now.Add(-ms)}, s.now)
			}
		}, health.StateActive, 4},
		{"failed probes only", func(s *loneTracker) {
			for range 3 {
				s.now = s.now.Add(time.Second)
				s.ObserveProbe(health.ProbeResult{Server: "a", Failed: true, Start: s.now}, s.now)
			}
		}, health.StateEjected, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newLoneTracker(8)
			tc.event(s)
			v := s.Status("a", s.now)
			require.Equal(t, tc.state.String(), v.State.String())
			require.Equal(t, tc.limit, v.Limit)
		})
	}
}

// Guards against instances with slots at different servers that together eject more than half of them.
func TestEjectionBoundOverInstances(t *testing.T) {
	w := newSimulation(5, 4, 12)
	w.singleHolder = true
	for range 400 {
		w.advance()
	}
	for _, id := range w.ids {
		w.broken[id] = true
	}
	for range 100 {
		w.advance()
		n := 0
		for _, in := range w.instances {
			ejected, _ := in.tracker.EjectedServers()
			n += ejected
		}
		require.LessOrEqual(t, n, 6)
	}
}

// Guards against the ejection of a whole version: busy servers that all become slower at once must
// not be compared with idle servers of the other version.
func TestVersionIsNotEjected(t *testing.T) {
	for _, result := range []route.Result{route.ResultOK, route.ResultFailed} {
		s := newLoneTracker(12)
		for i := range s.l.Servers {
			s.l.Servers[i].Version = []ident.VersionName{"v1", "v2"}[i/6]
		}
		s.SetServerList(s.l, s.now)
		for range 60 {
			for _, srv := range s.l.Servers[:6] {
				s.calls(srv.ID, 1, result, 200*time.Millisecond)
			}
		}
		usable, active := 0, 0
		for _, srv := range s.l.Servers[:6] {
			v := s.Status(srv.ID, s.now)
			if v.Limit > 0 {
				usable++
			}
			if v.Limit == 4 {
				active++
			}
		}
		require.GreaterOrEqual(t, usable, 3)
		if result == route.ResultOK {
			require.Equal(t, 6, active)
		}
	}
}

// Guards against servers that stay ejected for their own long durations after their failure domain has
// recovered.
func TestFailureDomainFailsAndReturns(t *testing.T) {
	s := newLoneTracker(16)
	domain := []ident.ServerID{"a", "e", "i", "m"}
	for range 4 {
		for _, id := range domain {
			s.calls(id, 5, route.ResultFailed, time.Millisecond)
		}
		require.True(t, s.DomainFailed("0"))
		s.now = s.now.Add(7 * time.Second)
		s.Tick(s.now)
	}
	s.calls("a", 1, route.ResultOK, 5*time.Millisecond)
	s.now = s.now.Add(time.Second)
	s.Tick(s.now)
	for _, id := range domain {
		require.Equal(t, health.StateWarming.String(), s.state(id).String())
	}
	require.False(t, s.DomainFailed("0"))
}

// Guards against ejections that do not become longer, and against early re-admission.
func TestEjectionGrows(t *testing.T) {
	s := newLoneTracker(8)
	var last time.Duration
	for range 4 {
		s.calls("a", 5, route.ResultFailed, time.Millisecond)
		from := s.now
		for s.state("a") == health.StateEjected {
			s.now = s.now.Add(100 * time.Millisecond)
			s.Tick(s.now)
		}
		require.Greater(t, s.now.Sub(from), last)
		last = s.now.Sub(from)
	}
}

// Guards against a server that stays unavailable after its restart because an earlier incarnation was leaving.
func TestAvailabilityEndsWithIncarnation(t *testing.T) {
	tracker := health.New("svc", "i1", rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1e6, 0)
	list := func(n ident.Incarnation) *notice.Availability {
		tracker.SetServerList(&roster.ServerList{Servers: []roster.Server{{ID: "s1", Slots: 4, Incarnation: n}}}, now)
		return tracker.Status("s1", now).Availability
	}
	list(1).Record(0, notice.Notice{Leaving: true})
	require.False(t, list(1).Available(0))
	require.True(t, list(2).Available(0))
}
