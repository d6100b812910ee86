package hub

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
)

// Bounds are the limits that hold for the sum of all instances.
type Bounds struct {
	// RetryShare and RetryExtra bound the resends of a service in any RetryWindow: to the share of the
	// calls, and the extra resends beyond it.
	RetryShare  ident.Share
	RetryExtra  float64
	RetryWindow time.Duration
	// CheckRate is the number of status checks per second that one backend server may get.
	CheckRate float64
}

// Self describes this instance.
type Self struct {
	ring.Member
	Bounds Bounds
	// Contacts are the addresses of instances that may be asked while no member is known.
	Contacts []netip.AddrPort
}

// Kind names what control follows in the store.
type Kind int

// Kinds of objects.
const (
	KindConfig Kind = iota
	KindServers
	KindOrders
	KindEvacuations
	KindMembers
)

//go:generate ../../../bin/enumer -type=Kind -trimprefix=Kind -transform=lower -text -output=kind_enumer.go

const (
	// spareInstances is the number of instances that may start before this one hears of them; each one
	// takes its part of the common bounds at once.
	spareInstances = 4
	// coldOwners is the number of instances that send to one cold server, and coldUse the part of what it
	// bears that they use together. Two views of the members that differ can double it.
	coldOwners = 2
	coldUse    = 0.8
	// checkUse is the part of the status checks that instances make of those that servers may get. Those of
	// first rounds are made beyond it.
	checkUse = 0.8
	// trialSlack is the number of calls that an untried version may have beyond its share, per instance.
	trialSlack = 2
	// connectionUse is the part of a server's connections that all instances use together.
	connectionUse  = 0.8
	minConnections = 2
	// lapseTime is the length of an outage of the store after which entries may have lapsed though their
	// servers live, and returnTime the time after its end in which such servers are listed again.
	lapseTime  = time.Second
	returnTime = 1900 * time.Millisecond
	// suspectTime is the time for which servers are kept when half of them or more, and at least minLapsed,
	// vanish at once. Servers that leave must get no calls 2 s after the store has said so, and the news of
	// it takes up to 0.7 s.
	suspectTime = 1200 * time.Millisecond
	minLapsed   = 3
	// orderTime is the time for which a version that nobody ordered waits for its order.
	orderTime = 3 * time.Second
)

// state is all control state. Only the control goroutine touches it.
type state struct {
	self Self
	now  time.Time
	log  Log
	// started is the time of the start.
	started time.Time
	// changed says that a new view is due.
	changed  bool
	leaving  bool
	config   *rules.Config
	servers  map[ident.ServerID]*server
	services map[ident.ServiceName]*service
	out      map[ident.DomainName]bool
	members  []ring.Member
	// owner says whether this instance is one of those that send to a server while it is cold.
	owner map[ident.ServerID]bool
	watch *ring.Monitor
	// loaded says which kinds have been read, and lost since when the store has not replied about a kind.
	loaded map[Kind]bool
	lost   map[Kind]time.Time
	// known holds the store's revision at which each kind is known.
	known map[Kind]ident.Revision
	// grace is the time until which a missing server may still come back.
	grace time.Time
	// listRevisions holds the revision of the last list of each kind, and objectRevisions those of the last news of
	// each object.
	listRevisions   map[Kind]ident.Revision
	objectRevisions map[Kind]map[string]ident.Revision
	// announced, pinged, reported and contacted are the times of the last such actions.
	announced, pinged, reported, contacted time.Time
	// met is the address of an instance that pinged this one.
	met netip.AddrPort
	// turn counts the contacts asked, so that each question goes to another one.
	turn int
	// sub says whether this instance watches the store, and which others it asks.
	sub *relay.Subscription
	// watched are the kinds that are followed in the store.
	watched map[Kind]bool
	// asking says that a question to another instance is under way, unreached which did not reply to the last one.
	asking    bool
	unreached netip.AddrPort
}

// server is what the instance knows of one backend server.
type server struct {
	entry  roster.ServiceServer
	memory *spread.ServerState
	// missing is the time at which the server counts as gone, or zero while it is listed.
	missing time.Time
}

// service is the state of one service beside its servers.
type service struct {
	trial  *canary.CoordinatedRollout
	meter  *spread.TrialLimiter
	budget *retry.SlidingWindow
	// known are the versions that take calls without an order, with the time from which on they do.
	known map[ident.VersionName]time.Time
	// writing says that a write of the rollout's progress is under way.
	writing bool
}

func newState(self Self, now time.Time, log Log) *state {
	return &state{
		self: self, now: now, started: now, log: log,
		servers: make(map[ident.ServerID]*server), services: make(map[ident.ServiceName]*service),
		out: make(map[ident.DomainName]bool), owner: make(map[ident.ServerID]bool), watch: ring.New(self.ID),
		loaded: make(map[Kind]bool), lost: make(map[Kind]time.Time), known: make(map[Kind]ident.Revision),
		listRevisions: make(map[Kind]ident.Revision), objectRevisions: make(map[Kind]map[string]ident.Revision),
		sub: relay.NewSubscription(self.Member, now),
	}
}

// service returns the state of the named service and creates it when it is new.
func (st *state) service(n ident.ServiceName) *service {
	s, ok := st.services[n]
	if !ok {
		s = &service{
			trial: canary.NewCoordinatedRollout(st.self.ID), meter: spread.NewTrialLimiter(canary.TrialShare, trialSlack),
			budget: retry.NewSlidingWindow(st.self.Bounds.RetryShare, st.retryExtra(), st.self.Bounds.RetryWindow, st.now),
			known:  make(map[ident.VersionName]time.Time),
		}
		st.services[n] = s
	}
	return s
}

// instances is the number of instances that common bounds are divided by.
func (st *state) instances() int { return max(1, len(st.members)) + spareInstances }

func (st *state) retryExtra() float64 { return st.self.Bounds.RetryExtra / float64(st.instances()) }

// ready reports whether all that calls depend on was read.
func (st *state) ready() bool {
	return st.config != nil && st.loaded[KindServers] && st.loaded[KindOrders] && st.loaded[KindEvacuations]
}

// observe hands the outcome of a try to its service's trial.
func (st *state) observe(o route.TryOutcome) { st.service(o.Service).trial.RecordOutcome(o) }

// nodes returns the members in the form that placement takes.
func (st *state) nodes() []place.Instance {
	out := make([]place.Instance, len(st.members))
	for i, m := range st.members {
		out[i] = place.Instance{ID: m.ID, Domain: m.Domain}
	}
	return out
}

// belief logs a change of what the instance believes.
func (st *state) belief(msg string, fields logrus.Fields) { st.log.StateChange("hub: "+msg, fields) }

// sortedServers returns the servers in the order of their names, so that views are the same everywhere.
func (st *state) sortedServers() []*server {
	out := make([]*server, 0, len(st.servers))
	for _, s := range st.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(a.entry.Server.ID, b.entry.Server.ID) })
	return out
}
