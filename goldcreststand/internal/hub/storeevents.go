package hub

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/rules"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/core/store"
)

type (
	// Configs is news of the configuration.
	Configs struct{ store.Batch[*rules.Config] }

	// Servers is news of the backend servers.
	Servers struct {
		store.Batch[roster.ServiceServer]
	}

	// Orders is news of the ordered rollouts and their progress.
	Orders struct {
		store.Batch[*canary.RolloutOrder]
	}

	// Evacuations is news of the failure domains that are taken out.
	Evacuations struct {
		store.Batch[ident.DomainName]
	}

	// Members is news of the instances.
	Members struct{ store.Batch[ring.Member] }

	// Lost says that the store does not reply about a kind.
	Lost struct {
		Kind Kind
		Err  error
	}

	// Regained says that the store replies about a kind again. It comes before what the reply says.
	Regained struct{ Kind Kind }
)

var (
	_ Event = Configs{}
	_ Event = Servers{}
	_ Event = Orders{}
	_ Event = Evacuations{}
	_ Event = Members{}
	_ Event = Lost{}
	_ Event = Regained{}
)

func (e Configs) apply(st *state) []Action {
	b, ok := accept(st, KindConfig, e.Batch)
	if !ok {
		return nil
	}
	st.invalid(KindConfig, b.Invalid)
	for _, o := range b.Objects {
		if !o.Value.Newer(st.config) {
			continue
		}
		st.config, st.changed = o.Value, true
		st.belief("configuration in force", logrus.Fields{
			"config": o.Value.Version, "revision": o.Revision, "routes": o.Value.RouteCount(), "services": len(o.Value.Services),
		})
	}
	return nil
}

func (e Servers) apply(st *state) []Action {
	first := !st.loaded[KindServers]
	b, ok := accept(st, KindServers, e.Batch)
	if !ok {
		return nil
	}
	st.invalid(KindServers, b.Invalid)
	listed := make(map[ident.ServerID]bool, len(b.Objects))
	for _, o := range b.Objects {
		listed[o.Value.Server.ID] = true
		if st.list(o.Value) && !first {
			st.logListed(o.Value, o.Revision)
		}
	}
	if first {
		// A line for each would delay the first calls.
		st.belief("servers listed", logrus.Fields{"servers": len(b.Objects), "revision": b.AsOf})
	}
	for _, f := range b.Invalid {
		st.unlist(ident.ServerID(f.Name), f.Revision)
	}
	gone := goneServers(st, b, listed)
	st.suspectLapse(len(gone))
	for _, id := range gone {
		st.unlist(id, b.AsOf)
	}
	return nil
}

// goneServers returns the servers that the news says are no longer listed.
func goneServers(st *state, b store.Batch[roster.ServiceServer], listed map[ident.ServerID]bool) []ident.ServerID {
	var out []ident.ServerID
	for _, n := range b.Removed {
		out = append(out, ident.ServerID(n))
	}
	if !b.Complete {
		return out
	}
	for id, s := range st.servers {
		if !listed[id] && s.missing.IsZero() {
			out = append(out, id)
		}
	}
	return out
}

// suspectLapse keeps the servers for a while when most go at once: a watch that waited through an outage of the store
// tells of lapsed entries without an error before.
func (st *state) suspectLapse(gone int) {
	until := st.now.Add(suspectTime)
	if gone < minLapsed || 2*gone < len(st.servers) || !st.grace.Before(until) {
		return
	}
	st.grace = until
	st.belief("most servers vanished at once", logrus.Fields{"gone": gone, "listed": len(st.servers), "kept": suspectTime.Milliseconds()})
}

// list notes a server's entry, and reports whether it is new.
func (st *state) list(e roster.ServiceServer) bool {
	s, ok := st.servers[e.Server.ID]
	if !ok || s.entry.Server.Incarnation != e.Server.Incarnation {
		s = &server{memory: spread.NewServerState(st.now)}
		st.servers[e.Server.ID] = s
	}
	if s.entry == e && s.missing.IsZero() {
		return false
	}
	s.entry, s.missing, st.changed = e, time.Time{}, true
	return true
}

// logListed logs a server's entry.
func (st *state) logListed(e roster.ServiceServer, rev ident.Revision) {
	st.belief("server listed", logrus.Fields{
		"server": e.Server.ID, "service": e.Service, "domain": e.Server.Domain, "version": e.Server.Version,
		"address": e.Server.Address.String(), "leaving": e.Server.Draining, "revision": rev,
	})
}

// unlist notes that a server's entry is gone. Entries that lapsed while the store was away come back soon
// after its return.
func (st *state) unlist(id ident.ServerID, rev ident.Revision) {
	s, ok := st.servers[id]
	if !ok || !s.missing.IsZero() {
		return
	}
	s.missing = st.now
	if st.now.Before(st.grace) {
		s.missing = st.grace
	}
	st.belief("server no longer listed", logrus.Fields{
		"server": id, "service": s.entry.Service, "revision": rev, "kept": s.missing.Sub(st.now).Milliseconds(),
	})
	st.dropMissing()
}

// dropMissing forgets the servers that are gone.
func (st *state) dropMissing() {
	for id, s := range st.servers {
		if !s.missing.IsZero() && !st.now.Before(s.missing) {
			delete(st.servers, id)
			delete(st.owner, id)
			st.changed = true
		}
	}
}

func (e Orders) apply(st *state) []Action {
	b, ok := accept(st, KindOrders, e.Batch)
	if !ok {
		return nil
	}
	st.invalid(KindOrders, b.Invalid)
	ordered := make(map[ident.ServiceName]bool, len(b.Objects))
	for _, o := range b.Objects {
		ordered[ident.ServiceName(o.Name)] = true
		st.order(o.Value, o.Revision)
	}
	for _, n := range b.Removed {
		st.cancel(ident.ServiceName(n))
	}
	if b.Complete {
		for n := range st.services {
			if !ordered[n] {
				st.cancel(n)
			}
		}
	}
	return nil
}

// order follows the order of a rollout and its progress.
func (st *state) order(o *canary.RolloutOrder, rev ident.Revision) {
	s := st.service(o.Service)
	old, phase := s.trial.Order(), s.trial.Phase()
	replaced := old == nil || old.Attempt != o.Attempt || old.Version != o.Version
	if replaced {
		s.adopt(st.now)
	}
	s.trial.SetOrder(o, st.now)
	if replaced {
		s.meter = spread.NewTrialLimiter(canary.TrialShare, trialSlack)
		st.belief("rollout ordered", logrus.Fields{
			"service": o.Service, "version": o.Version, "duration": o.Duration.Milliseconds(), "revision": rev, "begun": o.HasPhase,
			"phase": o.Phase.String(),
		})
	} else if phase != s.trial.Phase() {
		st.belief("rollout in phase", logrus.Fields{"service": o.Service, "version": o.Version, "phase": s.trial.Phase().String(), "revision": rev})
	}
	st.changed = true
}

// adopt makes the version of a rollout that is done, which its calls moved to, that of the stable servers.
func (s *service) adopt(now time.Time) {
	if o := s.trial.Order(); o != nil && s.trial.Phase() == canary.PhaseDone {
		s.known = map[ident.VersionName]time.Time{o.Version: now}
	}
}

func (st *state) cancel(n ident.ServiceName) {
	s := st.service(n)
	if s.trial.Order() == nil {
		return
	}
	s.adopt(st.now)
	s.trial.SetOrder(nil, st.now)
	st.changed = true
	st.belief("rollout order removed", logrus.Fields{"service": n})
}

func (e Evacuations) apply(st *state) []Action {
	b, ok := accept(st, KindEvacuations, e.Batch)
	if !ok {
		return nil
	}
	out := make(map[ident.DomainName]bool)
	if !b.Complete {
		for d := range st.out {
			out[d] = true
		}
	}
	for _, o := range b.Objects {
		out[ident.DomainName(o.Name)] = true
	}
	for _, n := range b.Removed {
		delete(out, ident.DomainName(n))
	}
	for d := range out {
		if !st.out[d] {
			st.belief("failure domain out", logrus.Fields{"domain": d, "revision": b.AsOf})
		}
	}
	for d := range st.out {
		if !out[d] {
			st.belief("failure domain back", logrus.Fields{"domain": d, "revision": b.AsOf})
		}
	}
	st.out, st.changed = out, true
	return nil
}

func (e Members) apply(st *state) []Action {
	b, ok := accept(st, KindMembers, e.Batch)
	if !ok {
		return nil
	}
	st.invalid(KindMembers, b.Invalid)
	var members []ring.Member
	replaced := make(map[ident.InstanceID]bool)
	for _, o := range b.Objects {
		replaced[o.Value.ID] = true
		members = append(members, o.Value)
	}
	for _, n := range b.Removed {
		replaced[ident.InstanceID(n)] = true
	}
	if !b.Complete {
		for _, m := range st.members {
			if !replaced[m.ID] {
				members = append(members, m)
			}
		}
	}
	slices.SortFunc(members, func(a, b ring.Member) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.Equal(members, st.members) {
		st.belief("members changed", logrus.Fields{"members": len(members), "before": len(st.members), "revision": b.AsOf})
	}
	st.members, st.changed = members, true
	clear(st.owner)
	st.sub.SetMembers(members, st.now)
	return append(st.announce(), st.follow()...)
}

func (e Lost) apply(st *state) []Action {
	if !st.watched[e.Kind] {
		// It was under way when this instance ceased to follow the kind.
		return nil
	}
	if _, ok := st.lost[e.Kind]; !ok {
		st.lost[e.Kind] = st.now
		st.belief("store lost", logrus.Fields{"kind": e.Kind.String(), "error": e.Err.Error()})
	}
	return nil
}

func (e Regained) apply(st *state) []Action {
	since, ok := st.lost[e.Kind]
	if !ok {
		return nil
	}
	delete(st.lost, e.Kind)
	away := st.now.Sub(since)
	st.belief("store regained", logrus.Fields{"kind": e.Kind.String(), "away": away.Milliseconds()})
	if e.Kind == KindServers && away >= lapseTime {
		st.grace = st.now.Add(returnTime)
	}
	return nil
}
