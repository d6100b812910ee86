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
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/core/store"
)

const testService ident.ServiceName = "svc"

type noLog struct{}

func (noLog) StateChange(string, logrus.Fields) {}

// bench is a control state in virtual time.
type bench struct {
	*state
	// rev is the store's revision.
	rev ident.Revision
}

// newBench returns the state of an instance that watches the store.
func newBench() *bench {
	b := newStranger()
	b.join("i1")
	b.apply(tick{})
	return b
}

// newStranger returns the state of an instance that has not read the list of members yet.
func newStranger() *bench {
	self := Self{
		Member: member("i1"),
		Bounds: Bounds{RetryShare: 200, RetryExtra: 60, RetryWindow: 10 * time.Second, CheckRate: 60},
	}
	b := &bench{state: newState(self, time.Unix(1e6, 0), noLog{})}
	b.apply(Configs{store.Batch[*rules.Config]{Complete: true, Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(1)}}}})
	b.apply(Orders{store.Batch[*canary.RolloutOrder]{Complete: true}})
	b.apply(Evacuations{store.Batch[ident.DomainName]{Complete: true}})
	return b
}

func (b *bench) apply(ev Event) []Action { return ev.apply(b.state) }

// join posts the list of members.
func (b *bench) join(ids ...ident.InstanceID) []Action {
	b.rev++
	batch := store.Batch[ring.Member]{Complete: true, AsOf: b.rev}
	for _, id := range ids {
		batch.Objects = append(batch.Objects, store.Object[ring.Member]{Name: string(id), Revision: b.rev, Value: member(id)})
	}
	return b.apply(Members{batch})
}

// only returns the actions of one type.
func only[T Action](actions []Action) []T {
	out := []T{}
	for _, a := range actions {
		if a, ok := a.(T); ok {
			out = append(out, a)
		}
	}
	return out
}

// wait lets time pass in ticks.
func (b *bench) wait(d time.Duration) []Action {
	var out []Action
	for ; d > 0; d -= tickInterval {
		b.now = b.now.Add(tickInterval)
		out = append(out, b.apply(tick{})...)
	}
	return out
}

// list posts entries of servers.
func (b *bench) list(whole bool, entries ...roster.ServiceServer) {
	b.rev++
	batch := store.Batch[roster.ServiceServer]{Complete: whole, AsOf: b.rev}
	for _, e := range entries {
		batch.Objects = append(batch.Objects, store.Object[roster.ServiceServer]{Name: string(e.Server.ID), Revision: b.rev, Value: e})
	}
	b.apply(Servers{batch})
}

// unlist posts that servers' entries are gone.
func (b *bench) unlist(names ...string) {
	b.rev++
	b.apply(Servers{store.Batch[roster.ServiceServer]{Removed: names, AsOf: b.rev}})
}

// order posts an order, with the phase that the store holds when it has begun.
func (b *bench) order(attempt ident.Attempt, v ident.VersionName, begun bool, p canary.Phase) {
	b.rev++
	o := &canary.RolloutOrder{Service: testService, Attempt: attempt, Version: v, Duration: 16 * time.Second, HasPhase: begun, Phase: p}
	b.apply(Orders{store.Batch[*canary.RolloutOrder]{
		Objects: []store.Object[*canary.RolloutOrder]{{Name: string(testService), Revision: b.rev, Value: o}}, AsOf: b.rev,
	}})
}

// pools returns the servers that calls may go to, by their ids.
func (b *bench) pools() (stable, trial []ident.ServerID) {
	sv := b.view().Services[testService]
	return ids(&sv.Stable), ids(&sv.Canary)
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

// peerOf returns the address of the instance for others.
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

// Guards against a configuration that goes back to an older version.
func TestConfigNeverGoesBack(t *testing.T) {
	b := newBench()
	for _, v := range []ident.Revision{5, 3, 4} {
		b.apply(Configs{store.Batch[*rules.Config]{Complete: true, Objects: []store.Object[*rules.Config]{{Name: "main", Value: config(v)}}}})
		require.Equal(t, ident.Revision(5), b.view().Config.Version)
	}
	// A list without the configuration, as a store may show for a moment, takes nothing away.
	b.apply(Configs{store.Batch[*rules.Config]{Complete: true}})
	require.Equal(t, ident.Revision(5), b.view().Config.Version)
}

// Guards against readiness before all that calls depend on is known, when a call would get a wrong 404.
func TestReadyNeedsAllKinds(t *testing.T) {
	b := newBench()
	require.False(t, b.view().Ready)
	b.list(true, entry("s1", "v1"))
	require.True(t, b.view().Ready)
}

// Guards against calls to a server that left, and to one that announces that it leaves.
func TestServersLeaveAtOnce(t *testing.T) {
	b := newBench()
	leaving := entry("s2", "v1")
	b.list(true, entry("s1", "v1"), entry("s2", "v1"), entry("s3", "v1"))
	leaving.Server.Draining = true
	b.list(false, leaving)
	b.unlist("s3")
	stable, _ := b.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
}

// Guards against taking servers out whose entries lapsed while the store was away, and against keeping those
// that are still missing afterwards: the bound is 2 s.
func TestLapsedEntriesComeBack(t *testing.T) {
	b := newBench()
	b.list(true, entry("s1", "v1"), entry("s2", "v1"))
	b.apply(Lost{Kind: KindServers, Err: store.ErrUnavailable.New("down")})
	b.wait(5 * time.Second)
	b.apply(Regained{Kind: KindServers})
	b.list(true)
	stable, _ := b.pools()
	require.Equal(t, []ident.ServerID{"s1", "s2"}, stable)
	b.wait(time.Second)
	b.list(false, entry("s1", "v1"))
	b.wait(time.Second)
	stable, _ = b.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
}

// Guards against the loss of all servers when the store is back whose entries lapsed while a watch waited on, and
// against servers that are kept for longer than one that leaves may get calls.
func TestServersThatVanishTogetherAreKept(t *testing.T) {
	b := newBench()
	b.list(true, entry("s1", "v1"), entry("s2", "v1"), entry("s3", "v1"), entry("s4", "v1"))
	b.unlist("s1", "s2", "s3")
	stable, _ := b.pools()
	require.Len(t, stable, 4)
	b.list(false, entry("s2", "v1"))
	b.wait(1200 * time.Millisecond)
	stable, _ = b.pools()
	require.Equal(t, []ident.ServerID{"s2", "s4"}, stable)
}

// Guards against an instance that starts while the store is away and asks nobody, or one that goes on asking those that
// are no members when it knows the members.
func TestOthersAreAskedWhileTheStoreIsAway(t *testing.T) {
	b := newStranger()
	seed, other := netip.MustParseAddrPort("10.0.0.8:1"), netip.MustParseAddrPort("10.0.0.9:1")
	b.self.Contacts = []netip.AddrPort{seed}
	ask := func() []netip.AddrPort {
		var out []netip.AddrPort
		asked := only[Follow](b.wait(contactInterval + awayDelay))
		for len(asked) > 0 {
			require.Contains(t, asked[0].Known, KindServers)
			out = append(out, asked[0].To)
			asked = only[Follow](b.apply(Followed{From: asked[0].To, Err: errors.New("no reply")}))
		}
		return out
	}
	require.Contains(t, ask(), seed)
	b.apply(Met{Peer: other})
	require.Contains(t, append(ask(), ask()...), other)
	asked := only[Follow](b.join("i1", "i2"))
	require.Len(t, asked, 1)
	require.Equal(t, peerOf("i2"), asked[0].To)
	require.Empty(t, ask(), "asked while another question is under way")
	b.apply(Followed{From: peerOf("i2")})
	b.list(true, entry("s1", "v1"))
	require.Empty(t, ask(), "asked though the store replies")
}

// Guards against an outage that never ends, because it was on its way when the instance ceased to watch the store.
func TestOutageOfUnwatchedKindIsIgnored(t *testing.T) {
	b := newBench()
	b.watched = map[Kind]bool{}
	b.apply(Lost{Kind: KindServers, Err: store.ErrUnavailable.New("down")})
	b.list(true, entry("s1", "v1"))
	b.wait(time.Second)
	require.Zero(t, b.age())
}

// Guards against news on its way that takes back what another instance told since.
func TestOlderListIsIgnored(t *testing.T) {
	b := newBench()
	newer := store.Batch[ident.DomainName]{Complete: true, AsOf: 9, Objects: []store.Object[ident.DomainName]{{Name: "d1"}}}
	b.apply(Evacuations{newer})
	b.apply(Evacuations{store.Batch[ident.DomainName]{Complete: true, AsOf: 8}})
	require.True(t, b.out["d1"])
}

// Guards against an entry that cannot be read naming a server, or hiding the others.
func TestUnreadableEntryIsSkipped(t *testing.T) {
	b := newBench()
	b.list(true, entry("s1", "v1"), entry("s2", "v1"))
	b.rev++
	finding := store.InvalidObject{Name: "s2", Revision: b.rev, Err: store.ErrUnavailable.New("no address")}
	b.apply(Servers{store.Batch[roster.ServiceServer]{Invalid: []store.InvalidObject{finding}, AsOf: b.rev}})
	stable, _ := b.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
}

// Guards against calls to a failure domain that is taken out, and against its loss when it is back.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	b := newBench()
	far := entry("s2", "v1")
	far.Server.Domain = "d2"
	b.list(true, entry("s1", "v1"), far)
	b.apply(Evacuations{store.Batch[ident.DomainName]{Objects: []store.Object[ident.DomainName]{{Name: "d2"}}}})
	stable, _ := b.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
	b.apply(Evacuations{store.Batch[ident.DomainName]{Removed: []string{"d2"}}})
	stable, _ = b.pools()
	require.Equal(t, []ident.ServerID{"s1", "s2"}, stable)
}

// Guards against calls to a version whose servers are read before its order.
func TestUnorderedVersionWaits(t *testing.T) {
	b := newBench()
	b.list(true, entry("s1", "v1"))
	b.pools()
	b.list(false, entry("s2", "v2"))
	stable, trial := b.pools()
	require.Equal(t, []ident.ServerID{"s1"}, stable)
	require.Empty(t, trial)
	b.order(1, "v2", false, canary.PhaseTrial)
	_, trial = b.pools()
	require.Equal(t, []ident.ServerID{"s2"}, trial)
}

// Guards against a rollout whose phases leave calls with the wrong servers.
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
			b := newBench()
			b.order(1, "v2", true, tt.phase)
			var entries []roster.ServiceServer
			for i := range 20 {
				entries = append(entries, entry(ident.ServerID("a"+strconv.Itoa(i)), "v1"), entry(ident.ServerID("b"+strconv.Itoa(i)), "v2"))
			}
			b.list(true, entries...)
			stable, trial := b.pools()
			require.Len(t, stable, tt.stable)
			require.Len(t, trial, tt.trial)
		})
	}
}

// Guards against a service without servers when a rollout follows one that is done: the version that the calls
// moved to is that of the stable servers from then on.
func TestNextOrderKeepsTheVersionInUse(t *testing.T) {
	b := newBench()
	b.list(true, entry("s1", "v1"))
	b.pools()
	b.order(1, "v2", false, canary.PhaseTrial)
	b.list(false, entry("s2", "v2"))
	b.order(1, "v2", true, canary.PhaseDone)
	b.order(1, "v3", false, canary.PhaseTrial)
	b.list(false, entry("s3", "v3"))
	stable, trial := b.pools()
	require.Equal(t, []ident.ServerID{"s2"}, stable)
	require.Equal(t, []ident.ServerID{"s3"}, trial)
}

// Guards against more calls to a cold server than it bears, summed over all instances.
func TestFewInstancesSendToColdServers(t *testing.T) {
	var members []ring.Member
	for i := range 16 {
		members = append(members, member(ident.InstanceID("i"+strconv.Itoa(i))))
	}
	perSecond := 0.0
	for _, m := range members {
		b := newBench()
		b.self.Member = m
		b.members = members
		clear(b.owner)
		b.list(true, entry("s1", "v1"))
		sv := b.view().Services[testService]
		if d := sv.Stable.Local[0].ColdInterval; d > 0 {
			perSecond += float64(time.Second) / float64(d)
		}
	}
	require.Positive(t, perSecond)
	require.LessOrEqual(t, perSecond, 15.0)
}

// Guards against an instance that nobody finds because its entry was removed while it was cut off.
func TestMissingEntryIsWrittenAgain(t *testing.T) {
	b := newBench()
	announced := []Announce{{Member: b.self.Member}}
	b.now = b.now.Add(announceInterval)
	require.Equal(t, announced, only[Announce](b.join("i2")))
	require.Empty(t, only[Announce](b.join("i1", "i2")))
	b.now = b.now.Add(announceInterval)
	b.rev++
	gone := Members{store.Batch[ring.Member]{Removed: []string{"i1"}, AsOf: b.rev}}
	require.Equal(t, announced, only[Announce](b.apply(gone)))
	require.Equal(t, []Action{Withdraw{ID: "i1"}}, b.apply(Leave{}))
	require.Empty(t, only[Announce](b.wait(2*announceInterval)), "an instance that leaves writes its entry")
}
