package hub

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/store"
)

const (
	// peerFallbackDelay is the time without a reply from the store after which other instances are polled.
	peerFallbackDelay = 200 * time.Millisecond
	// seedPollInterval is the time between two polls of seed peers, while no member is known.
	seedPollInterval = 500 * time.Millisecond
	// lastValidInterval is the minimum time between two polls for the last valid configuration.
	lastValidInterval = time.Second
)

type (
	// WatchKinds tells the adapter to watch exactly these kinds in the store, with watches that end in turn with
	// those of other instances.
	WatchKinds struct {
		Kinds map[Kind]bool
		Turn  relay.Turn
	}

	// PollPeer polls another instance for changes after the known positions and posts PollCompleted.
	PollPeer struct {
		To    netip.AddrPort
		Known map[Kind]store.Position
		// Wait is the time for which the other instance may hold the poll open until something changes. The poll
		// fails after Timeout.
		Wait, Timeout time.Duration
		// Watched is the age of this instance's copy by its own watches (Freshness).
		Watched time.Duration
	}
)

type (
	// RestartWatches ends all watches, after which the objects are listed again.
	RestartWatches struct{}

	// ReportHang tells another instance that a watch of this one hung.
	ReportHang struct{ To netip.AddrPort }
)

func (WatchKinds) action()     {}
func (PollPeer) action()       {}
func (RestartWatches) action() {}
func (ReportHang) action()     {}

type (
	// WatchHung reports that the store did not answer a watch of this instance.
	WatchHung struct{ Kind Kind }

	// HangReported reports that the store did not answer a watch of another instance.
	HangReported struct{ Sender ident.InstanceID }

	// CopyOffered reports that another instance watches the store, and how long ago its copy was up to date by its own watches.
	CopyOffered struct {
		Sender  ident.InstanceID
		Watched time.Duration
	}
)

var (
	_ Event = WatchHung{}
	_ Event = HangReported{}
	_ Event = CopyOffered{}
)

func (e CopyOffered) apply(st *state) []Action {
	i := slices.IndexFunc(st.members, func(m ring.Member) bool { return m.ID == e.Sender })
	if i >= 0 && e.Sender != st.self.ID {
		st.subscription.HandleOffer(st.members[i].Peer, e.Watched, st.now)
	}
	return nil
}

func (e WatchHung) apply(st *state) []Action {
	others := st.subscription.OtherWatchers()
	st.logChange("watch was not answered", logrus.Fields{"kind": e.Kind.String(), "told": len(others)})
	out := make([]Action, 0, len(others))
	for _, to := range others {
		out = append(out, ReportHang{To: to})
	}
	return out
}

func (e HangReported) apply(st *state) []Action {
	st.logChange("watches restarted, as one of another instance was not answered", logrus.Fields{"member": e.Sender})
	return []Action{RestartWatches{}}
}

// PollCompleted holds the result of polling another instance. Updates is valid even when the rest of the reply
// could not be decoded.
type PollCompleted struct {
	From netip.AddrPort
	Err  error
	Freshness
	Updates []Event
}

var _ Event = PollCompleted{}

func (e PollCompleted) apply(st *state) []Action {
	st.polling = false
	st.recordPollResult(e)
	if until := st.now.Add(e.Grace); e.Grace > 0 && until.After(st.graceUntil) {
		st.graceUntil = until
	}
	out := st.importUpdates(e.From, e.Updates)
	st.confirmByPeer(e)
	return append(out, st.chooseSources()...)
}

// importUpdates applies updates of another instance.
func (st *state) importUpdates(from netip.AddrPort, updates []Event) []Action {
	st.importedFrom = from
	defer func() { st.importedFrom = netip.AddrPort{} }()
	var out []Action
	for _, ev := range updates {
		out = append(out, ev.apply(st)...)
	}
	return out
}

// importing reports whether updates of another instance are being applied.
func (st *state) importing() bool { return st.importedFrom.IsValid() }

// source names the origin of the update that is being applied.
func (st *state) source() string {
	if st.importing() {
		return st.importedFrom.String()
	}
	return "store"
}

// recordPollResult records whether the polled instance replied.
func (st *state) recordPollResult(e PollCompleted) {
	if e.Err == nil {
		st.subscription.HandleReply(e.From, e.Copy, st.now)
		if st.failedSource == e.From {
			st.failedSource = netip.AddrPort{}
			st.logChange("polled instance replies again", logrus.Fields{"source": e.From.String(), "age": e.Age.Milliseconds()})
		}
		if len(e.Updates) > 0 {
			st.logChange("received changes from another instance", logrus.Fields{
				"source": e.From.String(), "kinds": len(e.Updates), "age": e.Age.Milliseconds(), "grace": e.Grace.Milliseconds(),
			})
		}
		return
	}
	st.subscription.HandleFailure(e.From, st.now)
	if st.failedSource != e.From {
		st.failedSource = e.From
		st.logChange("polled instance does not reply", logrus.Fields{"source": e.From.String(), "error": e.Err.Error()})
	}
}

// chooseSources decides which kinds this instance watches in the store, and which instance it polls for the
// others.
func (st *state) chooseSources() []Action {
	var out []Action
	watches := st.subscription.WatchesStore(st.now)
	kinds := make(map[Kind]bool)
	for _, k := range KindValues() {
		// The list of members decides which instances watch the store.
		if watches || k == KindMembers && !st.loaded[k] {
			kinds[k] = true
		}
	}
	turn := st.subscription.Turn()
	changed := !maps.Equal(kinds, st.watched)
	if changed {
		st.logChange("watched kinds changed", logrus.Fields{
			"kinds": len(kinds), "of": len(KindValues()), "age": st.freshness().Age.Milliseconds(), "members": len(st.members),
		})
		st.watched = kinds
		for _, k := range KindValues() {
			if !kinds[k] {
				delete(st.unavailableSince, k)
				st.uncover(k)
			}
		}
	}
	if changed || turn != st.turn {
		st.turn = turn
		out = append(out, WatchKinds{Kinds: kinds, Turn: turn})
	}
	out = append(out, st.restartWatches(watches)...)
	if st.subscription.StartCheck(st.now) {
		out = append(out, CheckStore{At: st.now})
	}
	if st.polling {
		return out
	}
	if to, ok := st.nextSource(); ok {
		st.polling = true
		known := make(map[Kind]store.Position)
		for _, k := range KindValues() {
			known[k] = st.positions[k]
		}
		if st.asksLastValid() {
			known[KindConfig] = store.Position{}
		}
		wait, timeout := st.subscription.PollTimes(st.now)
		out = append(out, PollPeer{To: to, Known: known, Wait: wait, Timeout: timeout, Watched: st.freshness().Watched})
	}
	return out
}

// restartWatches ends the watches when all kinds must be listed again.
func (st *state) restartWatches(watches bool) []Action {
	wanted := st.relist && watches
	st.relist = false
	if !wanted {
		return nil
	}
	return []Action{RestartWatches{}}
}

// asksLastValid reports whether the next poll asks for the whole configuration, and not for changes alone. It is asked
// again while there is none.
func (st *state) asksLastValid() bool {
	wanted := st.lastValidWanted || st.config == nil && st.loaded[KindConfig]
	if !wanted || st.now.Sub(st.lastValidAskedAt) < lastValidInterval {
		return false
	}
	st.lastValidWanted, st.lastValidAskedAt = false, st.now
	return true
}

// nextSource returns the instance to poll next. While no member is known, it cycles through the instance that
// last pinged this one and the seed peers.
func (st *state) nextSource() (netip.AddrPort, bool) {
	if len(st.members) > 0 {
		return st.subscription.NextSource(st.now)
	}
	if st.now.Sub(st.started) < peerFallbackDelay || st.now.Sub(st.seedPolledAt) < seedPollInterval {
		return netip.AddrPort{}, false
	}
	seeds := st.self.SeedPeers
	if st.lastPinger.IsValid() {
		seeds = append([]netip.AddrPort{st.lastPinger}, seeds...)
	}
	if len(seeds) == 0 {
		return netip.AddrPort{}, false
	}
	st.seedPolledAt = st.now
	st.seedPolls++
	return seeds[st.seedPolls%len(seeds)], true
}
