package hub

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/store"
)

// A store that returns to an older copy has lost what it had acknowledged since. The operator and the backend servers write their part
// again. Until then an instance goes on with what it knows to have been acknowledged.

const (
	// reaffirmTime is the time after the store's return within which the operator and the servers have written again what it lost.
	reaffirmTime = 30 * time.Second
	// removedMemory is the time for which removed servers and members are remembered. The copy to which the store returns is some
	// seconds old.
	removedMemory = time.Minute
)

// lost holds the names of objects of which the store has lost the acknowledged state. That state stays in force until a later change of
// the object, or for a limited time.
type lost[N ~string] map[N]lostState

// lostState says for how long an acknowledged state stays in force.
type lostState struct {
	// at is the position of the list that shows the loss.
	at    store.Position
	until time.Time
}

// hold keeps the acknowledged state of an object in force until the time, since the list at the position does not have it.
func (l lost[N]) hold(name N, at store.Position, until time.Time) {
	l[name] = lostState{at: at, until: until}
}

// release ends that for an object that changed as of the position, if that is after the list.
func (l lost[N]) release(name N, at store.Position) {
	if s, ok := l[name]; ok && s.at.Before(at) {
		delete(l, name)
	}
}

// releaseChanged ends that for the objects that changed after the list, according to the batch.
func releaseChanged[N ~string, T any](l lost[N], b store.Batch[T]) {
	for _, o := range b.Objects {
		l.release(N(o.Name), b.AsOf.WithRevision(o.Revision))
	}
	for _, f := range b.Invalid {
		l.release(N(f.Name), b.AsOf.WithRevision(f.Revision))
	}
	for _, n := range b.Removed {
		l.release(N(n), b.AsOf)
	}
}

// expire returns the names whose time is over, and forgets them.
func (l lost[N]) expire(now time.Time) []N {
	var out []N
	for name, s := range l {
		if !now.Before(s.until) {
			out = append(out, name)
			delete(l, name)
		}
	}
	return out
}

// returned reports whether the position is the first known one of a kind after the store's return to an older copy.
func (st *state) returned(k Kind, at store.Position) bool {
	return st.loaded[k] && st.positions[k].Era < at.Era
}

// removedServer is what remains of a server that was removed.
type removedServer struct {
	incarnation ident.Incarnation
	at          time.Time
}

// holdLeaves keeps servers out of use that leave or were removed, and are ready in the first list after the store's return.
func (st *state) holdLeaves(b store.Batch[roster.ServiceServer]) {
	var back []ident.ServerID
	for _, o := range b.Objects {
		e := o.Value.Server
		if e.Draining {
			continue
		}
		if s, ok := st.servers[e.ID]; ok && s.removeAt.IsZero() && s.entry.Server.Incarnation == e.Incarnation {
			if s.entry.Server.Draining {
				st.holdLeave(e.ID, b.AsOf)
			}
		} else if r, ok := st.removedServers[e.ID]; ok && r.incarnation == e.Incarnation {
			back = append(back, e.ID)
		}
	}
	if len(back) >= minMassRemoval && 2*len(back) >= len(b.Objects) {
		// Their entries have most likely expired although they run.
		return
	}
	for _, id := range back {
		st.holdLeave(id, b.AsOf)
	}
}

func (st *state) holdLeave(id ident.ServerID, at store.Position) {
	st.lostLeaves.hold(id, at, st.now.Add(reaffirmTime))
	st.logChange("store has lost that a server left, which stays out of use", logrus.Fields{"server": id, "era": at.Era, "revision": at.Revision})
}

// endLostLeaves uses servers again that are listed as ready for long after the store's return.
func (st *state) endLostLeaves() {
	for _, id := range st.lostLeaves.expire(st.now) {
		if s, ok := st.servers[id]; ok && s.removeAt.IsZero() {
			s.entry.Server.Draining, st.changed = false, true
			st.logChange("server is still listed as ready after the store's return", logrus.Fields{"server": id, "waited": reaffirmTime.Milliseconds()})
		}
	}
	for id, r := range st.removedServers {
		if st.now.Sub(r.at) >= removedMemory {
			delete(st.removedServers, id)
		}
	}
}

// endLostEvacuations puts failure domains back in service whose evacuation the operator has not written again after the store's return.
func (st *state) endLostEvacuations() {
	ended := st.lostEvacuations.expire(st.now)
	if len(ended) == 0 {
		return
	}
	evacuated := maps.Clone(st.evacuated)
	for _, d := range ended {
		st.logChange("lost evacuation was not written again", logrus.Fields{"domain": d, "waited": reaffirmTime.Milliseconds()})
		delete(evacuated, d)
	}
	st.setEvacuated(evacuated, st.positions[KindEvacuations])
}
