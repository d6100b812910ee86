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
	"goldcreststand.example/core/recent"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/core/store"
)

// Bounds are limits on the sum over all instances.
type Bounds struct {
	// RetryShare and RetryExtra limit the retries of a service within any RetryWindow, to RetryShare of its calls
	// plus RetryExtra.
	RetryShare  ident.Share
	RetryExtra  float64
	RetryWindow time.Duration
	// CheckRate is the maximum number of status checks per second that one backend server receives.
	CheckRate float64
}

// Self describes this instance.
type Self struct {
	ring.Member
	Bounds Bounds
	// SeedPeers are the addresses of instances to poll while no member is known.
	SeedPeers []netip.AddrPort
	// WaitByDeadline reports that calls wait for a server by their deadlines (spread.Snapshot).
	WaitByDeadline bool
}

// Kind is a kind of objects in the store.
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
	// unknownInstances is the number of instances that may start before this one knows of them. Each of them uses
	// its part of the shared limits at once.
	unknownInstances = 4
	// departedMemory is the time for which instances that are missing from the list of members keep their parts of the shared
	// limits. Such an instance may run: the store may have lost its entry, and callers go on using its address.
	departedMemory = time.Minute
	// coldSenders is the number of instances that send to one cold server, and coldRateShare the share of the
	// server's warm-up rate that they use together. It can double while instances have different lists of members.
	coldSenders   = 2
	coldRateShare = 0.8
	// checkRateShare is the share of the permitted status checks that instances use. The checks of first rounds
	// are made in addition.
	checkRateShare = 0.8
	// trialExtraCalls is the number of calls per instance that a version in the trial phase may receive beyond its
	// share.
	trialExtraCalls = 2
	// connectionShare is the share of a server's connections that all instances use together. Each instance may open at
	// least minConnections.
	connectionShare = 0.8
	minConnections  = 2
	// expiryOutage is the length of a store outage from which on entries may have expired although their servers
	// run. expiryGrace is the time after the outage within which such servers are listed again.
	expiryOutage = time.Second
	expiryGrace  = 1900 * time.Millisecond
	// massRemovalGrace is the time for which servers are kept when at least half of them, and at least
	// minMassRemoval, are removed at once. Servers that shut down must receive no calls 2 s after the store has
	// reported it, and that report takes up to 0.7 s to arrive.
	massRemovalGrace = 1200 * time.Millisecond
	minMassRemoval   = 3
	// orderWait is the time for which servers of a version without a rollout order receive no calls, until its
	// order is read.
	orderWait = 3 * time.Second
	// maxRolledBack limits the versions of a service that are remembered as rolled back.
	maxRolledBack = 16
)

// state is the whole control state. Only the control goroutine accesses it.
type state struct {
	self    Self
	now     time.Time
	log     Log
	started time.Time
	// changed is set when a new snapshot must be published.
	changed      bool
	shuttingDown bool
	stop         spread.Stop
	config       *rules.Config
	// lastValidWanted is set when other instances may know a valid configuration that the store no longer has, and
	// lastValidAskedAt is the time at which one was last asked.
	lastValidWanted  bool
	lastValidAskedAt time.Time
	// confirmed reports that calls may be judged by the configuration.
	confirmed bool
	// importedFrom is the instance whose updates are being applied, or zero.
	importedFrom netip.AddrPort
	// repliedAt is the time of the store's last reply to this instance.
	repliedAt time.Time
	servers   map[ident.ServerID]*server
	// removedServers holds the servers that were removed within removedMemory, and lostLeaves those of which the store has lost that
	// they left.
	removedServers map[ident.ServerID]removedServer
	lostLeaves     lost[ident.ServerID]
	services       map[ident.ServiceName]*service
	evacuated      map[ident.DomainName]bool
	// lostEvacuations holds the evacuations that the store has lost by its return to an older copy.
	lostEvacuations lost[ident.DomainName]
	members         []ring.Member
	memberList      *memberList
	// memberCount is the largest number of members of the last departedMemory.
	memberCount *recent.Extreme[int]
	// sendsToCold reports for each server whether this instance sends to it while it is cold.
	sendsToCold map[ident.ServerID]bool
	monitor     *ring.Monitor
	// loaded holds the kinds that have been read, and unavailableSince the time since which the store has not
	// replied about a kind.
	loaded           map[Kind]bool
	unavailableSince map[Kind]time.Time
	// era is the latest known era of the store, and relist is set when all kinds must be listed again.
	era    ident.Era
	relist bool
	// positions holds the position of the store up to which each kind is known.
	positions map[Kind]store.Position
	// graceUntil is the time until which servers missing from the list are kept.
	graceUntil time.Time
	// listPositions holds the position of the last complete list of each kind, and objectPositions that of the last
	// change of each object.
	listPositions   map[Kind]store.Position
	objectPositions map[Kind]map[string]store.Position
	// registeredAt, pingedAt, reportedAt, seedPolledAt and deniedAt are the times of the last such actions.
	registeredAt, pingedAt, reportedAt, seedPolledAt, deniedAt time.Time
	// lastPinger is the address of the instance that last pinged this one.
	lastPinger netip.AddrPort
	// seedPolls counts the polls of seed peers, to cycle through them.
	seedPolls int
	// subscription decides whether this instance watches the store, and which instances it polls.
	subscription *relay.Subscription
	// watched are the kinds that this instance watches in the store, and covered those of them that the store has returned since
	// the watch began. A watch that ends without a reply covers nothing.
	watched, covered map[Kind]bool
	// outOfDate is set while the copy of the store is out of date, and storeLost while the store does not reply to checks, both as
	// last logged.
	outOfDate, storeLost bool
	// turn is the position among the instances that watch the store, as last passed to the watchers of the kinds.
	turn relay.Turn
	// polling is set while a poll of another instance is in progress. failedSource is the instance whose last poll
	// failed.
	polling      bool
	failedSource netip.AddrPort
	// boot is the time since the machine booted, including the time for which it was suspended.
	boot time.Duration
	// usage is nil if this instance takes no part in the duty of reporting usage.
	usage *usageState
}

// server is the control state of one backend server.
type server struct {
	entry roster.ServiceServer
	state *spread.ServerState
	// removeAt is the time at which the server is removed, or zero while it is listed.
	removeAt time.Time
}

// service is the control state of one service, apart from its servers.
type service struct {
	rollout      *canary.CoordinatedRollout
	trialLimiter *spread.TrialLimiter
	retryBudget  *retry.SlidingWindow
	// deniedRetries is the number of retries that the budget had denied when that was last logged.
	deniedRetries int64
	silence       spread.Silence
	// admittedFrom holds the versions that receive calls without a rollout order, with the time from which on they
	// do.
	admittedFrom map[ident.VersionName]time.Time
	// rolledBack holds the versions that get no calls until they are ordered again, the latest one last. Their servers run
	// for a while after the rollback.
	rolledBack []ident.VersionName
	// writingProgress is set while a write of the rollout's progress is in progress.
	writingProgress bool
	// endLostAt is the time from which on the store is known to have lost the rollout's end, or zero, and endWrittenAt that of the
	// last write of that end.
	endLostAt, endWrittenAt time.Time
}

func newState(self Self, now time.Time, log Log) *state {
	return &state{
		self: self, now: now, started: now, log: log,
		servers: make(map[ident.ServerID]*server), services: make(map[ident.ServiceName]*service),
		evacuated: make(map[ident.DomainName]bool), lostEvacuations: make(lost[ident.DomainName]),
		removedServers: make(map[ident.ServerID]removedServer), lostLeaves: make(lost[ident.ServerID]), sendsToCold: make(map[ident.ServerID]bool), monitor: ring.New(self.ID),
		covered: make(map[Kind]bool), loaded: make(map[Kind]bool), unavailableSince: make(map[Kind]time.Time), positions: make(map[Kind]store.Position),
		listPositions: make(map[Kind]store.Position), objectPositions: make(map[Kind]map[string]store.Position),
		subscription: relay.NewSubscription(self.Member, now),
		memberCount:  recent.NewMax(departedMemory, 1), memberList: newMemberList(),
	}
}

// service returns the state of the named service and creates it if needed.
func (st *state) service(n ident.ServiceName) *service {
	s, ok := st.services[n]
	if !ok {
		s = &service{
			rollout: canary.NewCoordinatedRollout(st.self.ID), trialLimiter: spread.NewTrialLimiter(canary.TrialShare, trialExtraCalls),
			retryBudget:  retry.NewSlidingWindow(st.self.Bounds.RetryShare, st.extraRetries(), st.self.Bounds.RetryWindow, st.now),
			admittedFrom: make(map[ident.VersionName]time.Time),
		}
		st.services[n] = s
	}
	return s
}

// instances returns the number of instances that shared limits are divided by.
func (st *state) instances() int { return st.memberCount.Value() + unknownInstances }

// countMembers records the present number of members.
func (st *state) countMembers() {
	st.memberCount.Observe(st.now.Sub(st.started), max(1, len(st.members)))
}

// ready reports whether all kinds that request handling needs have been read.
func (st *state) ready() bool {
	if st.config != nil && st.config.Access != nil && !st.confirmed {
		return false
	}
	return st.config != nil && st.loaded[KindServers] && st.loaded[KindOrders] && st.loaded[KindEvacuations]
}

// recordOutcome passes the outcome of a try to its service's rollout.
func (st *state) recordOutcome(o route.TryOutcome) { st.service(o.Service).rollout.RecordOutcome(o) }

// placementInstances returns the members in the form that package place takes.
func (st *state) placementInstances() []place.Instance {
	out := make([]place.Instance, len(st.members))
	for i, m := range st.members {
		out[i] = place.Instance{ID: m.ID, Domain: m.Domain}
	}
	return out
}

// logChange logs a change of the control state.
func (st *state) logChange(msg string, fields logrus.Fields) { st.log.StateChange("hub: "+msg, fields) }

// sortedServers returns the servers sorted by id, so that all instances build the same snapshot.
func (st *state) sortedServers() []*server {
	out := make([]*server, 0, len(st.servers))
	for _, s := range st.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(a.entry.Server.ID, b.entry.Server.ID) })
	return out
}
