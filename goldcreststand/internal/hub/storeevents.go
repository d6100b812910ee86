package hub

import (
	"maps"
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
	// ConfigUpdate holds read or changed configurations.
	ConfigUpdate struct{ store.Batch[*rules.Config] }

	// ServersUpdate holds read or changed entries of backend servers.
	ServersUpdate struct {
		store.Batch[roster.ServiceServer]
	}

	// OrdersUpdate holds read or changed rollout orders with their progress.
	OrdersUpdate struct {
		store.Batch[*canary.RolloutOrder]
	}

	// EvacuationsUpdate holds the failure domains that are out of service, or changes of them.
	EvacuationsUpdate struct {
		store.Batch[ident.DomainName]
	}

	// MembersUpdate holds read or changed entries of instances.
	MembersUpdate struct{ store.Batch[ring.Member] }

	// StoreUnavailable reports that the store does not reply about a kind.
	StoreUnavailable struct {
		Kind Kind
		Err  error
	}

	// StoreAvailable reports that the store replies about a kind again. It is posted before the content of the
	// reply.
	StoreAvailable struct{ Kind Kind }
)

var (
	_ Event = ConfigUpdate{}
	_ Event = ServersUpdate{}
	_ Event = OrdersUpdate{}
	_ Event = EvacuationsUpdate{}
	_ Event = MembersUpdate{}
	_ Event = StoreUnavailable{}
	_ Event = StoreAvailable{}
)

func (e ConfigUpdate) apply(st *state) []Action {
	known := st.freshness()
	st.recordUpdate(KindConfig, e.AsOf)
	b, ok := acceptBatch(st, KindConfig, e.Batch)
	if !ok {
		return nil
	}
	st.logInvalid(KindConfig, b.Invalid)
	if len(b.Invalid) > 0 && !st.importing() {
		st.lastValidWanted = true
	}
	// The last valid configuration may be unknown although the newest one, which is invalid, was read.
	for _, o := range slices.Concat(b.Objects, b.LastValid) {
		if !o.Value.Newer(st.config) {
			continue
		}
		st.config, st.changed = o.Value, true
		st.logChange("configuration applied", logrus.Fields{
			"config": o.Value.Version, "era": b.AsOf.Era, "revision": o.Revision, "routes": o.Value.RouteCount(), "services": len(o.Value.Services),
			"organisations": o.Value.Access.Size(), "source": st.source(), "age": known.Age.Milliseconds(), "silent": known.Silent.Milliseconds(),
		})
	}
	st.confirmByStore(b)
	return nil
}

func (e ServersUpdate) apply(st *state) []Action {
	first, returned := !st.loaded[KindServers], st.returned(KindServers, e.AsOf)
	st.recordUpdate(KindServers, e.AsOf)
	b, ok := acceptBatch(st, KindServers, e.Batch)
	if !ok {
		return nil
	}
	st.logInvalid(KindServers, b.Invalid)
	releaseChanged(st.lostLeaves, b)
	if returned {
		st.holdLeaves(b)
		st.keepMissing()
	}
	listed := make(map[ident.ServerID]bool, len(b.Objects))
	for _, o := range b.Objects {
		listed[o.Value.Server.ID] = true
		if _, left := st.lostLeaves[o.Value.Server.ID]; left {
			o.Value.Server.Draining = true
		}
		if st.addServer(o.Value) && !first {
			st.logListed(o.Value, o.Revision)
		}
	}
	if first {
		// One log line per server would delay the first calls.
		st.logChange("servers listed", logrus.Fields{"servers": len(b.Objects), "revision": b.AsOf.Revision})
	}
	for _, f := range b.Invalid {
		st.removeServer(ident.ServerID(f.Name), f.Revision)
	}
	removed := removedServers(st, b, listed)
	st.keepOnMassRemoval(len(removed))
	for _, id := range removed {
		st.removeServer(id, b.AsOf.Revision)
	}
	return nil
}

// removedServers returns the servers that the batch removes from the list.
func removedServers(st *state, b store.Batch[roster.ServiceServer], listed map[ident.ServerID]bool) []ident.ServerID {
	var out []ident.ServerID
	for _, n := range b.Removed {
		out = append(out, ident.ServerID(n))
	}
	if !b.Complete {
		return out
	}
	for id, s := range st.servers {
		if !listed[id] && s.removeAt.IsZero() {
			out = append(out, id)
		}
	}
	return out
}

// keepOnMassRemoval keeps the servers for a while when most are removed at once. A watch that stayed open during
// an outage of the store reports the expired entries without having failed first.
func (st *state) keepOnMassRemoval(removed int) {
	until := st.now.Add(massRemovalGrace)
	if removed < minMassRemoval || 2*removed < len(st.servers) || !st.graceUntil.Before(until) {
		return
	}
	st.graceUntil = until
	st.logChange("most servers removed at once", logrus.Fields{"gone": removed, "listed": len(st.servers), "kept": massRemovalGrace.Milliseconds()})
}

// addServer stores a server's entry and reports whether it differs from the stored one.
func (st *state) addServer(e roster.ServiceServer) bool {
	s, ok := st.servers[e.Server.ID]
	if !ok || s.entry.Server.Incarnation != e.Server.Incarnation {
		s = &server{state: spread.NewServerState(st.now)}
		st.servers[e.Server.ID] = s
	}
	if s.entry == e && s.removeAt.IsZero() {
		return false
	}
	s.entry, s.removeAt, st.changed = e, time.Time{}, true
	return true
}

func (st *state) logListed(e roster.ServiceServer, rev ident.Revision) {
	st.logChange("server listed", logrus.Fields{
		"server": e.Server.ID, "service": e.Service, "domain": e.Server.Domain, "version": e.Server.Version,
		"address": e.Server.Address.String(), "leaving": e.Server.Draining, "revision": rev,
	})
}

// removeServer handles the removal of a server's entry. Until graceUntil the server is kept, because entries that
// expired during an outage of the store are written again soon after it.
func (st *state) removeServer(id ident.ServerID, rev ident.Revision) {
	s, ok := st.servers[id]
	if !ok || !s.removeAt.IsZero() {
		return
	}
	st.removedServers[id] = removedServer{incarnation: s.entry.Server.Incarnation, at: st.now}
	s.removeAt = st.now
	if st.now.Before(st.graceUntil) {
		s.removeAt = st.graceUntil
	}
	st.logChange("server no longer listed", logrus.Fields{
		"server": id, "service": s.entry.Service, "revision": rev, "kept": s.removeAt.Sub(st.now).Milliseconds(),
	})
	st.deleteRemovedServers()
}

// deleteRemovedServers deletes the servers whose removal time has come.
func (st *state) deleteRemovedServers() {
	for id, s := range st.servers {
		if !s.removeAt.IsZero() && !st.now.Before(s.removeAt) {
			delete(st.servers, id)
			delete(st.sendsToCold, id)
			st.changed = true
		}
	}
}

func (e OrdersUpdate) apply(st *state) []Action {
	st.recordUpdate(KindOrders, e.AsOf)
	b, ok := acceptBatch(st, KindOrders, e.Batch)
	if !ok {
		return nil
	}
	st.logInvalid(KindOrders, b.Invalid)
	ordered := make(map[ident.ServiceName]bool, len(b.Objects))
	for _, o := range b.Objects {
		ordered[ident.ServiceName(o.Name)] = true
		st.setOrder(o.Value, o.Revision)
	}
	for _, n := range b.Removed {
		st.removeOrder(ident.ServiceName(n))
	}
	if b.Complete {
		for n := range st.services {
			if !ordered[n] {
				st.removeOrder(n)
			}
		}
	}
	return nil
}

// setOrder applies a rollout order and its progress.
func (st *state) setOrder(o *canary.RolloutOrder, rev ident.Revision) {
	s := st.service(o.Service)
	old, phase := s.rollout.Order(), s.rollout.Phase()
	replaced := old == nil || old.Attempt != o.Attempt || old.Version != o.Version
	if replaced {
		s.keepResult(st.now)
	}
	for _, v := range o.RolledBack {
		s.addRolledBack(v)
	}
	s.deleteRolledBack(o.Version)
	s.rollout.SetOrder(o, st.now)
	if replaced {
		s.trialLimiter = spread.NewTrialLimiter(canary.TrialShare, trialExtraCalls)
		st.logChange("rollout ordered", logrus.Fields{
			"service": o.Service, "version": o.Version, "duration": o.Duration.Milliseconds(), "revision": rev, "begun": o.HasPhase,
			"phase": o.Phase.String(),
		})
	} else if phase != s.rollout.Phase() {
		st.logChange("rollout phase changed", logrus.Fields{
			"service": o.Service, "version": o.Version, "phase": s.rollout.Phase().String(), "revision": rev,
		})
	}
	st.changed = true
}

// keepResult keeps the result of a rollout whose order is replaced or removed: the version of a completed one becomes that
// of the stable servers, and that of one that was rolled back gets no calls.
func (s *service) keepResult(now time.Time) {
	o := s.rollout.Order()
	if o == nil {
		return
	}
	switch s.rollout.Phase() {
	case canary.PhaseDone:
		s.admittedFrom = map[ident.VersionName]time.Time{o.Version: now}
	case canary.PhaseReverted:
		s.addRolledBack(o.Version)
	case canary.PhaseTrial, canary.PhaseQuarter, canary.PhaseHalf, canary.PhaseWhole:
	}
}

func (s *service) addRolledBack(v ident.VersionName) {
	s.deleteRolledBack(v)
	s.rolledBack = append(s.rolledBack, v)
	s.rolledBack = s.rolledBack[max(0, len(s.rolledBack)-maxRolledBack):]
}

func (s *service) deleteRolledBack(v ident.VersionName) {
	s.rolledBack = slices.DeleteFunc(s.rolledBack, func(x ident.VersionName) bool { return x == v })
}

func (st *state) removeOrder(n ident.ServiceName) {
	s := st.service(n)
	if s.rollout.Order() == nil {
		return
	}
	s.keepResult(st.now)
	s.rollout.SetOrder(nil, st.now)
	st.changed = true
	st.logChange("rollout order removed", logrus.Fields{"service": n})
}

func (e EvacuationsUpdate) apply(st *state) []Action {
	returned := st.returned(KindEvacuations, e.AsOf)
	st.recordUpdate(KindEvacuations, e.AsOf)
	b, ok := acceptBatch(st, KindEvacuations, e.Batch)
	if !ok {
		return nil
	}
	releaseChanged(st.lostEvacuations, b)
	evacuated := make(map[ident.DomainName]bool)
	if !b.Complete {
		maps.Copy(evacuated, st.evacuated)
	}
	for _, o := range b.Objects {
		evacuated[ident.DomainName(o.Name)] = true
	}
	for _, n := range b.Removed {
		delete(evacuated, ident.DomainName(n))
	}
	if returned {
		for d := range st.evacuated {
			if !evacuated[d] {
				st.lostEvacuations.hold(d, b.AsOf, st.now.Add(reaffirmTime))
				st.logChange("store has lost an evacuation, which stays in force", logrus.Fields{"domain": d, "era": b.AsOf.Era})
			}
		}
	}
	for d := range st.lostEvacuations {
		evacuated[d] = true
	}
	st.setEvacuated(evacuated, b.AsOf)
	return nil
}

// setEvacuated sets the failure domains that are out of service.
func (st *state) setEvacuated(evacuated map[ident.DomainName]bool, at store.Position) {
	if maps.Equal(evacuated, st.evacuated) {
		return
	}
	for d := range evacuated {
		if !st.evacuated[d] {
			st.logChange("failure domain out of service", logrus.Fields{"domain": d, "revision": at.Revision})
		}
	}
	for d := range st.evacuated {
		if !evacuated[d] {
			st.logChange("failure domain back in service", logrus.Fields{"domain": d, "revision": at.Revision})
		}
	}
	st.evacuated, st.changed = evacuated, true
}

func (e StoreUnavailable) apply(st *state) []Action {
	if !st.watched[e.Kind] {
		// The watch failed while this instance was stopping it.
		return nil
	}
	if _, ok := st.unavailableSince[e.Kind]; !ok {
		st.unavailableSince[e.Kind] = st.now
		st.logChange("store unavailable", logrus.Fields{"kind": e.Kind.String(), "error": e.Err.Error()})
	}
	st.uncover(e.Kind)
	return nil
}

func (e StoreAvailable) apply(st *state) []Action {
	since, ok := st.unavailableSince[e.Kind]
	if !ok {
		return nil
	}
	delete(st.unavailableSince, e.Kind)
	outage := st.now.Sub(since)
	st.logChange("store available again", logrus.Fields{"kind": e.Kind.String(), "away": outage.Milliseconds()})
	if e.Kind == KindServers {
		st.keepExpired(outage)
	}
	return nil
}

// keepMissing keeps servers that are missing from the list until they have had the time to write their entries again.
func (st *state) keepMissing() { st.graceUntil = st.now.Add(expiryGrace) }

// keepExpired keeps servers that are missing from the list for a while after an outage in which their entries may have expired.
func (st *state) keepExpired(outage time.Duration) {
	if outage >= expiryOutage {
		st.keepMissing()
	}
}
