package hub

import (
	"errors"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/table"
)

const testService ident.ServiceName = "svc"

type noLog struct{}

func (noLog) StateChange(string, logrus.Fields) {}

// harness holds a control state driven in virtual time.
type harness struct {
	*state
	// rev is the store's latest revision, and storeEra the era in which it was given out.
	rev      ident.Revision
	storeEra ident.Era
}

// at returns the position of a revision in a store that has no eras.
func at(rev ident.Revision) store.Position { return store.Position{Revision: rev} }

// at returns the store's position.
func (h *harness) at() store.Position { return store.Position{Era: h.storeEra, Revision: h.rev} }

// newHarness returns the state of an instance that watches the store.
func newHarness() *harness {
	h := newUnjoinedHarness()
	h.join("i1")
	h.apply(tick{})
	return h
}

// newUnjoinedHarness returns the state of an instance that has not read the list of members yet.
func newUnjoinedHarness() *harness { return newHarnessOf("i1") }

// newHarnessOf returns the same for the instance.
func newHarnessOf(id ident.InstanceID) *harness {
	self := Self{
		Member: member(id),
		Bounds: Bounds{RetryShare: 200, RetryExtra: 60, RetryWindow: 10 * time.Second, CheckRate: 60},
	}
	h := &harness{state: newState(self, time.Unix(1e6, 0), noLog{})}
	h.apply(ConfigUpdate{store.Batch[*rules.Config]{Complete: true, Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(1)}}}})
	h.apply(OrdersUpdate{store.Batch[*canary.RolloutOrder]{Complete: true}})
	h.apply(EvacuationsUpdate{store.Batch[ident.DomainName]{Complete: true}})
	return h
}

func (h *harness) apply(ev Event) []Action { return ev.apply(h.state) }

// join posts a complete list of members.
func (h *harness) join(ids ...ident.InstanceID) []Action {
	h.rev++
	batch := store.Batch[ring.Member]{Complete: true, AsOf: h.at()}
	for _, id := range ids {
		batch.Objects = append(batch.Objects, store.Object[ring.Member]{Name: string(id), Revision: h.rev, Value: member(id)})
	}
	return h.apply(MembersUpdate{batch})
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	out := []T{}
	for _, a := range actions {
		if a, ok := a.(T); ok {
			out = append(out, a)
		}
	}
	return out
}

// wait advances the time in ticks.
func (h *harness) wait(d time.Duration) []Action {
	var out []Action
	for ; d > 0; d -= tickInterval {
		h.now = h.now.Add(tickInterval)
		out = append(out, h.apply(tick{})...)
	}
	return out
}

// list posts entries of servers.
func (h *harness) list(complete bool, entries ...roster.ServiceServer) {
	h.rev++
	batch := store.Batch[roster.ServiceServer]{Complete: complete, AsOf: h.at()}
	for _, e := range entries {
		batch.Objects = append(batch.Objects, store.Object[roster.ServiceServer]{Name: string(e.Server.ID), Revision: h.rev, Value: e})
	}
	h.apply(ServersUpdate{batch})
}

// unlist posts the removal of servers' entries.
func (h *harness) unlist(names ...string) {
	h.rev++
	h.apply(ServersUpdate{store.Batch[roster.ServiceServer]{Removed: names, AsOf: h.at()}})
}

// order posts a rollout order. When begun is set, it has the phase.
func (h *harness) order(attempt ident.Attempt, v ident.VersionName, begun bool, p canary.Phase) {
	h.rev++
	o := &canary.RolloutOrder{Service: testService, Attempt: attempt, Version: v, Duration: 16 * time.Second, HasPhase: begun, Phase: p}
	h.apply(OrdersUpdate{store.Batch[*canary.RolloutOrder]{
		Objects: []store.Object[*canary.RolloutOrder]{{Name: string(testService), Revision: h.rev, Value: o}}, AsOf: h.at(),
	}})
}

// pools returns the ids of the servers in both pools.
func (h *harness) pools() (stable, trial []ident.ServerID) {
	svcSnap := h.snapshot().Services[testService]
	return ids(&svcSnap.Stable), ids(&svcSnap.Canary)
}

func ids(p *spread.Pool) []ident.ServerID {
	out := []ident.ServerID{}
	for _, list := range [][]*spread.Server{p.Local, p.Remote} {
		for _, s := range list {
			out = append(out, s.ID)
		}
	}
	return out
}

func member(id ident.InstanceID) ring.Member {
	return ring.Member{ID: id, Domain: "d1", Region: "r", Traffic: netip.MustParseAddrPort("10.0.0.1:80"), Peer: peerOf(id)}
}

// peerOf returns the instance's address for other instances.
func peerOf(id ident.InstanceID) netip.AddrPort {
	sum := 0
	for _, c := range id {
		sum = 31*sum + int(c)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(sum >> 8), byte(sum)}), 7)
}

func config(v ident.Revision) *rules.Config {
	c := rules.New(v, rules.Limits{})
	c.Services[testService] = &rules.Service{Name: testService, HealthPath: "/health", MaxConns: 240, WarmupRate: 15}
	return c
}

func entry(id ident.ServerID, v ident.VersionName) roster.ServiceServer {
	return roster.ServiceServer{Service: testService, Server: roster.Server{
		ID: id, Domain: "d1", Version: v, Slots: 4, Address: netip.MustParseAddrPort("10.0.1.1:80"),
	}}
}

// Guards against a configuration that is replaced by an older version.
func TestOlderConfigIsIgnored(t *testing.T) {
	h := newHarness()
	for _, v := range []ident.Revision{5, 3, 4} {
		h.apply(ConfigUpdate{store.Batch[*rules.Config]{Complete: true, Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(v)}}}})
		require.Equal(t, ident.Revision(5), h.snapshot().Config.Version)
	}
	// The store may briefly return a list without the configuration; the known one stays.
	h.apply(ConfigUpdate{store.Batch[*rules.Config]{Complete: true}})
	require.Equal(t, ident.Revision(5), h.snapshot().Config.Version)
}

// Guards against readiness before all kinds that calls need are read, when a call would wrongly get a 404.
func TestReadyNeedsAllKinds(t *testing.T) {
	h := newHarness()
	require.False(t, h.snapshot().Ready)
	h.list(true, entry("s1", "v1"))
	require.True(t, h.snapshot().Ready)
}

// Guards against calls to a server that was removed, or that is draining.
func TestRemovedAndDrainingServersGetNoCalls(t *testing.T) {
	h := newHarness()
	draining := entry("s2", "v1")
	h.list(true, entry("s1", "v1"), entry("s2", "v1"), entry("s3", "v1"))
	draining.Server.Draining = true
	h.list(false, draining)
	h.unlist("s3")
	stable, _ := h.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
}

// Guards against removing servers whose entries expired during an outage of the store, and against keeping those
// that are still missing 2 s afterwards.
func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
	h := newHarness()
	h.list(true, entry("s1", "v1"), entry("s2", "v1"))
	h.apply(StoreUnavailable{Kind: KindServers, Err: store.ErrUnavailable.New("down")})
	h.wait(5 * time.Second)
	h.apply(StoreAvailable{Kind: KindServers})
	h.list(true)
	stable, _ := h.pools()
	require.Equal(t, []ident.ServerID{"s1", "s2"}, stable)
	h.wait(time.Second)
	h.list(false, entry("s1", "v1"))
	h.wait(time.Second)
	stable, _ = h.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
}

// Guards against the loss of all servers when their entries expired during an outage that the watch did not
// notice, and against keeping servers that shut down for too long.
func TestServersRemovedTogetherAreKept(t *testing.T) {
	h := newHarness()
	h.list(true, entry("s1", "v1"), entry("s2", "v1"), entry("s3", "v1"), entry("s4", "v1"))
	h.unlist("s1", "s2", "s3")
	stable, _ := h.pools()
	require.Len(t, stable, 4)
	h.list(false, entry("s2", "v1"))
	h.wait(1200 * time.Millisecond)
	stable, _ = h.pools()
	require.Equal(t, []ident.ServerID{"s2", "s4"}, stable)
}

// Guards against an instance that starts during an outage of the store and does not poll, and against polls of
// instances that are not members once the members are known.
func TestPeersArePolledWhileStoreIsUnavailable(t *testing.T) {
	h := newUnjoinedHarness()
	seed, other := netip.MustParseAddrPort("10.0.0.8:1"), netip.MustParseAddrPort("10.0.0.9:1")
	h.self.SeedPeers = []netip.AddrPort{seed}
	poll := func() []netip.AddrPort {
		var out []netip.AddrPort
		polls := actionsOf[PollPeer](h.wait(seedPollInterval + peerFallbackDelay))
		for len(polls) > 0 {
			require.Contains(t, polls[0].Known, KindServers)
			out = append(out, polls[0].To)
			polls = actionsOf[PollPeer](h.apply(PollCompleted{From: polls[0].To, Err: errors.New("no reply")}))
		}
		return out
	}
	require.Contains(t, poll(), seed)
	h.apply(PingReceived{Peer: other})
	require.Contains(t, append(poll(), poll()...), other)
	polls := actionsOf[PollPeer](h.join("i1", "i2"))
	require.Len(t, polls, 1)
	require.Equal(t, peerOf("i2"), polls[0].To)
	require.Empty(t, poll(), "polled while another poll is in progress")
	h.apply(PollCompleted{From: peerOf("i2")})
	h.list(true, entry("s1", "v1"))
	require.Empty(t, poll(), "polled although the store replies")
}

// Guards against an outage that never ends, because its report arrived after the instance stopped watching the
// kind.
func TestOutageOfUnwatchedKindIsIgnored(t *testing.T) {
	h := watchingHarness()
	h.watched = map[Kind]bool{}
	h.apply(StoreUnavailable{Kind: KindServers, Err: store.ErrUnavailable.New("down")})
	h.list(true, entry("s1", "v1"))
	for _, c := range actionsOf[CheckStore](h.wait(time.Second)) {
		h.apply(StoreChecked{At: c.At})
	}
	h.apply(StoreChecked{At: h.now})
	require.Zero(t, h.freshness().Age)
	require.Empty(t, h.unavailableSince)
}

// Guards against a delayed list that reverts newer changes from another instance.
func TestOlderListIsIgnored(t *testing.T) {
	h := newHarness()
	newer := store.Batch[ident.DomainName]{Complete: true, AsOf: at(9), Objects: []store.Object[ident.DomainName]{{Name: "d1"}}}
	h.apply(EvacuationsUpdate{newer})
	h.apply(EvacuationsUpdate{store.Batch[ident.DomainName]{Complete: true, AsOf: at(8)}})
	require.True(t, h.evacuated["d1"])
}

// Guards against an invalid entry that leaves its server in use, or hides the other servers.
func TestInvalidEntryIsSkipped(t *testing.T) {
	h := newHarness()
	h.list(true, entry("s1", "v1"), entry("s2", "v1"))
	h.rev++
	invalid := store.InvalidObject{Name: "s2", Revision: h.rev, Err: store.ErrUnavailable.New("no address")}
	h.apply(ServersUpdate{store.Batch[roster.ServiceServer]{Invalid: []store.InvalidObject{invalid}, AsOf: h.at()}})
	stable, _ := h.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
}

// Guards against calls to a failure domain that is out of service, and against leaving its servers unused when it
// is back in service.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	h := newHarness()
	far := entry("s2", "v1")
	far.Server.Domain = "d2"
	h.list(true, entry("s1", "v1"), far)
	h.apply(EvacuationsUpdate{store.Batch[ident.DomainName]{Objects: []store.Object[ident.DomainName]{{Name: "d2"}}}})
	stable, _ := h.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
	h.apply(EvacuationsUpdate{store.Batch[ident.DomainName]{Removed: []string{"d2"}}})
	stable, _ = h.pools()
	require.Equal(t, []ident.ServerID{"s1", "s2"}, stable)
}

// Guards against calls to a version whose servers are read before its rollout order.
func TestUnorderedVersionWaits(t *testing.T) {
	h := newHarness()
	h.list(true, entry("s1", "v1"))
	h.pools()
	h.list(false, entry("s2", "v2"))
	stable, trial := h.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
	require.Empty(t, trial)
	h.order(1, "v2", false, canary.PhaseTrial)
	_, trial = h.pools()
	require.Equal(t, []ident.ServerID{"s2"}, trial)
}

// Guards against an instance that starts during a rollout and sends all calls to the new version, because it reads the servers
// before the order, and takes the first version that it sees for the stable one.
func TestStartDuringRolloutKeepsStableVersion(t *testing.T) {
	h := &harness{state: newState(Self{Member: member("i1")}, time.Unix(1e6, 0), noLog{})}
	h.apply(ConfigUpdate{store.Batch[*rules.Config]{Complete: true, Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(1)}}}})
	h.list(true, entry("s1", "v2"), entry("s2", "v1"))
	h.snapshot()
	h.apply(EvacuationsUpdate{store.Batch[ident.DomainName]{Complete: true}})
	h.snapshot()
	h.order(1, "v2", true, canary.PhaseTrial)
	stable, trial := h.pools()
	require.Equal(t, []ident.ServerID{"s2"}, stable)
	require.Equal(t, []ident.ServerID{"s1"}, trial)
}

// Guards against a rollout phase that sends calls to the wrong servers.
func TestPhasesChooseServers(t *testing.T) {
	tests := []struct {
		phase         canary.Phase
		stable, trial int
	}{
		{phase: canary.PhaseTrial, stable: 20, trial: 1},
		{phase: canary.PhaseQuarter, stable: 20, trial: 5},
		{phase: canary.PhaseHalf, stable: 20, trial: 10},
		{phase: canary.PhaseWhole, stable: 0, trial: 20},
		{phase: canary.PhaseDone, stable: 0, trial: 20},
		{phase: canary.PhaseReverted, stable: 20, trial: 0},
	}
	for _, tt := range tests {
		t.Run(tt.phase.String(), func(t *testing.T) {
			h := newHarness()
			h.order(1, "v2", true, tt.phase)
			var entries []roster.ServiceServer
			for i := range 20 {
				entries = append(entries, entry(ident.ServerID("a"+strconv.Itoa(i)), "v1"), entry(ident.ServerID("b"+strconv.Itoa(i)), "v2"))
			}
			h.list(true, entries...)
			stable, trial := h.pools()
			require.Len(t, stable, tt.stable)
			require.Len(t, trial, tt.trial)
		})
	}
}

// Guards against a service without stable servers when a rollout follows a completed one: the version of the
// completed rollout is the stable one from then on.
func TestNextOrderKeepsStableVersion(t *testing.T) {
	h := newHarness()
	h.list(true, entry("s1", "v1"))
	h.pools()
	h.order(1, "v2", false, canary.PhaseTrial)
	h.list(false, entry("s2", "v2"))
	h.order(1, "v2", true, canary.PhaseDone)
	h.order(1, "v3", false, canary.PhaseTrial)
	h.list(false, entry("s3", "v3"))
	stable, trial := h.pools()
	require.Equal(t, []ident.ServerID{"s2"}, stable)
	require.Equal(t, []ident.ServerID{"s3"}, trial)
}

// Guards against a total rate of calls to a cold server, over all instances, that exceeds its warm-up rate.
func TestFewInstancesSendToColdServers(t *testing.T) {
	var members []ring.Member
	for i := range 16 {
		members = append(members, member(ident.InstanceID("i"+strconv.Itoa(i))))
	}
	perSecond := 0.0
	for _, m := range members {
		h := newHarness()
		h.self.Member = m
		h.members = members
		clear(h.sendsToCold)
		h.list(true, entry("s1", "v1"))
		sv := h.snapshot().Services[testService]
		if d := sv.Stable.Local[0].ColdInterval; d > 0 {
			perSecond += float64(time.Second) / float64(d)
		}
	}
	require.Positive(t, perSecond)
	require.LessOrEqual(t, perSecond, 15.0)
}

// Guards against an instance that stays unlisted after its entry was removed during a network partition.
func TestMissingEntryIsRewritten(t *testing.T) {
	h := newHarness()
	registration := []RegisterMember{{Member: h.self.Member}}
	h.now = h.now.Add(registerInterval)
	require.Equal(t, registration, actionsOf[RegisterMember](h.join("i2")))
	require.Empty(t, actionsOf[RegisterMember](h.join("i1", "i2")))
	h.now = h.now.Add(registerInterval)
	h.rev++
	removal := MembersUpdate{store.Batch[ring.Member]{Removed: []string{"i1"}, AsOf: h.at()}}
	require.Equal(t, registration, actionsOf[RegisterMember](h.apply(removal)))
	until := h.now.Add(5 * time.Second)
	require.Equal(t, []Action{DeregisterMember{ID: "i1"}}, h.apply(Shutdown{Until: until}))
	require.Equal(t, spread.Stop{Since: h.now, Until: until}, h.snapshot().Stop)
	require.Empty(t, actionsOf[RegisterMember](h.wait(2*registerInterval)), "an instance that shuts down writes its entry")
}

// Guards against watches that end at the same time on all instances, because control does not pass the turn on.
func TestWatchesFollowTheTurn(t *testing.T) {
	h := newUnjoinedHarness()
	h.join("i1")
	actions := h.join("i0", "i1")
	require.Equal(t, relay.Turn{Index: 1, Of: 2}, actionsOf[WatchKinds](actions)[0].Turn)
	require.Empty(t, actionsOf[WatchKinds](h.join("i0", "i1")))
}

// Guards against instances that each have to find for themselves that the store does not answer the watches which were sent
// while it was silent.
func TestHungWatchIsReported(t *testing.T) {
	h := newUnjoinedHarness()
	h.join("i0", "i1", "i2")
	require.Equal(t, []Action{ReportHang{To: peerOf("i0")}}, h.apply(WatchHung{Kind: KindConfig}), "i2 is no watcher")
	require.Equal(t, []Action{RestartWatches{}}, h.apply(HangReported{Sender: "i0"}))
}

// completingHarness returns the state of the deciding instance whose write of the rollout's end was not answered.
func completingHarness(t *testing.T) *harness {
	h := newHarness()
	h.list(true, entry("s1", "v1"))
	h.pools()
	h.order(1, "v2", false, canary.PhaseTrial)
	h.list(false, entry("s2", "v2"))
	h.order(1, "v2", true, canary.PhaseWhole)
	writes := actionsOf[WriteProgress](h.wait(14200 * time.Millisecond))
	require.Len(t, writes, 1)
	require.Equal(t, canary.PhaseDone, writes[0].Order.Phase)
	return h
}

// Guards against a service that gets no calls, because the deadline comes while it is not known whether the end of the
// rollout was written, after which the old servers stop.
func TestUnansweredCompletionKeepsVersion(t *testing.T) {
	h := completingHarness(t)
	h.wait(1500 * time.Millisecond)
	_, trial := h.pools()
	require.Equal(t, []ident.ServerID{"s2"}, trial)
	h.order(1, "v2", true, canary.PhaseDone)
	h.unlist("s1")
	stable, trial := h.pools()
	require.Empty(t, stable)
	require.Equal(t, []ident.ServerID{"s2"}, trial)
}

// Guards against an instance that never sends calls to a version again which it was told is bad, although the rollout was
// completed and the old servers have stopped.
func TestCompletionEndsRejection(t *testing.T) {
	rejected := VersionRejected{Service: testService, Attempt: 1}
	for name, before := range map[string]bool{"rejected before the end": true, "rejected after the end": false} {
		t.Run(name, func(t *testing.T) {
			h := completingHarness(t)
			if before {
				h.apply(rejected)
				_, trial := h.pools()
				require.Empty(t, trial)
			}
			h.order(1, "v2", true, canary.PhaseDone)
			if !before {
				h.apply(rejected)
			}
			_, trial := h.pools()
			require.Equal(t, []ident.ServerID{"s2"}, trial)
		})
	}
}

// Guards against a stale instance that tells others to reject a version whose rollout was completed.
func TestCompletedVersionIsNotReportedAsBad(t *testing.T) {
	h := completingHarness(t)
	h.apply(VersionRejected{Service: testService, Attempt: 1})
	h.order(1, "v2", true, canary.PhaseDone)
	reply := make(chan bool, 1)
	report := canary.Report{Status: table.RolloutStatus{Service: testService, Attempt: 1}}
	h.apply(ReportReceived{Sender: "i2", Service: testService, Report: report, Reply: reply})
	require.False(t, <-reply)
}

// Guards against calls to a version that was rolled back, once another version is ordered or the order is removed while its
// servers still run, and for good.
func TestRolledBackVersionGetsNoCalls(t *testing.T) {
	tests := []struct {
		name string
		next func(h *harness)
	}{
		{name: "next order", next: func(h *harness) { h.order(1, "v3", false, canary.PhaseTrial) }},
		{name: "next order completed", next: func(h *harness) {
			h.order(1, "v3", true, canary.PhaseDone)
			h.list(false, entry("s3", "v3"))
			h.order(1, "v4", false, canary.PhaseTrial)
		}},
		{name: "order removed", next: func(h *harness) {
			h.rev++
			h.apply(OrdersUpdate{store.Batch[*canary.RolloutOrder]{Removed: []string{string(testService)}, AsOf: h.at()}})
		}},
		{name: "new object", next: func(h *harness) { h.order(2, "v3", false, canary.PhaseTrial) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			h.list(true, entry("s1", "v1"))
			h.pools()
			h.list(false, entry("s2", "v2"))
			h.pools()
			h.wait(orderWait)
			h.order(1, "v2", false, canary.PhaseTrial)
			h.order(1, "v2", true, canary.PhaseReverted)
			tt.next(h)
			for range 2 {
				stable, trial := h.pools()
				require.NotContains(t, stable, ident.ServerID("s2"))
				require.NotContains(t, trial, ident.ServerID("s2"))
				h.wait(2 * orderWait)
			}
			h.order(3, "v2", false, canary.PhaseTrial)
			_, trial := h.pools()
			require.Equal(t, []ident.ServerID{"s2"}, trial, "ordered again")
		})
	}
}

// Guards against an instance that starts after a rollback, and sends calls to the version because it has not seen it.
func TestRollbackIsKnownAfterRestart(t *testing.T) {
	h := newHarness()
	o := &canary.RolloutOrder{Service: testService, Attempt: 1, Version: "v3", Duration: 16 * time.Second, RolledBack: []ident.VersionName{"v2"}}
	h.apply(OrdersUpdate{store.Batch[*canary.RolloutOrder]{
		Complete: true, Objects: []store.Object[*canary.RolloutOrder]{{Name: string(testService), Value: o}},
	}})
	h.list(true, entry("s1", "v2"), entry("s2", "v1"), entry("s3", "v3"))
	for range 2 {
		stable, trial := h.pools()
		require.Equal(t, []ident.ServerID{"s2"}, stable)
		require.Equal(t, []ident.ServerID{"s3"}, trial)
		h.wait(2 * orderWait)
	}
}

// Guards against a rollback that is forgotten with the order, as no instance writes it to the store.
func TestRollbackIsWritten(t *testing.T) {
	h := newHarness()
	h.list(true, entry("s1", "v1"), entry("s2", "v2"))
	h.order(1, "v2", true, canary.PhaseReverted)
	h.order(2, "v3", false, canary.PhaseTrial)
	writes := actionsOf[WriteProgress](h.wait(time.Second))
	require.Len(t, writes, 1)
	require.Equal(t, []ident.VersionName{"v2"}, writes[0].Order.RolledBack)
}
