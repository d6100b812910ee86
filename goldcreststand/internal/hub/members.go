package hub

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/store"
)

// memberGrace is the time after the store's return for which members that it has lost are kept. They write their entries again within
// registerInterval, and the list takes about a second to arrive through another instance.
const memberGrace = 4 * time.Second

// memberList is the list of members in the store, and what is known beyond it after the store's return to an older copy.
type memberList struct {
	listed map[ident.InstanceID]ring.Member
	// removed holds the times at which members were removed within removedMemory.
	removed map[ident.InstanceID]time.Time
	// kept holds members that the store has lost, and dead those that it lists although they were removed.
	kept map[ident.InstanceID]keptMember
	dead lost[ident.InstanceID]
}

// keptMember is a member that is kept until a point in time although it is not listed.
type keptMember struct {
	ring.Member
	until time.Time
}

func newMemberList() *memberList {
	return &memberList{
		removed: make(map[ident.InstanceID]time.Time), kept: make(map[ident.InstanceID]keptMember), dead: make(lost[ident.InstanceID]),
	}
}

// apply applies a batch to the list.
func (l *memberList) apply(b store.Batch[ring.Member], now time.Time) {
	before := l.listed
	l.listed = make(map[ident.InstanceID]ring.Member)
	if !b.Complete {
		maps.Copy(l.listed, before)
	}
	for _, o := range b.Objects {
		l.listed[o.Value.ID] = o.Value
		if !b.Complete {
			delete(l.removed, o.Value.ID)
		}
	}
	for _, n := range b.Removed {
		delete(l.listed, ident.InstanceID(n))
	}
	for id := range before {
		if !l.lists(id) {
			l.removed[id] = now
		}
	}
	l.endKept(func(m keptMember) bool { return l.lists(m.ID) })
	releaseChanged(l.dead, b)
}

// applyReturned applies the first list after the store's return. members are those that were known before it.
func (l *memberList) applyReturned(b store.Batch[ring.Member], members []ring.Member, now time.Time) {
	l.listed = make(map[ident.InstanceID]ring.Member)
	clear(l.kept)
	for _, o := range b.Objects {
		l.listed[o.Value.ID] = o.Value
		if _, ok := l.removed[o.Value.ID]; ok {
			l.dead.hold(o.Value.ID, b.AsOf, now.Add(reaffirmTime))
		}
	}
	for _, m := range members {
		if !l.lists(m.ID) {
			l.kept[m.ID] = keptMember{m, now.Add(memberGrace)}
		}
	}
}

// expire ends what is known beyond the list when its time is over, and reports whether that changes the members.
func (l *memberList) expire(now time.Time) bool {
	maps.DeleteFunc(l.removed, func(_ ident.InstanceID, at time.Time) bool { return now.Sub(at) >= removedMemory })
	ended := l.endKept(func(m keptMember) bool { return !now.Before(m.until) })
	return len(l.dead.expire(now)) > 0 || ended
}

// endKept forgets the kept members for which end returns true, and reports whether there are any.
func (l *memberList) endKept(end func(keptMember) bool) bool {
	before := len(l.kept)
	maps.DeleteFunc(l.kept, func(_ ident.InstanceID, m keptMember) bool { return end(m) })
	return len(l.kept) < before
}

func (l *memberList) lists(id ident.InstanceID) bool {
	_, ok := l.listed[id]
	return ok
}

// members returns the members, sorted by name.
func (l *memberList) members() []ring.Member {
	var out []ring.Member
	for id, m := range l.listed {
		if _, dead := l.dead[id]; !dead {
			out = append(out, m)
		}
	}
	for _, m := range l.kept {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b ring.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (e MembersUpdate) apply(st *state) []Action {
	returned := st.returned(KindMembers, e.AsOf)
	st.recordUpdate(KindMembers, e.AsOf)
	b, ok := acceptBatch(st, KindMembers, e.Batch)
	if !ok {
		return nil
	}
	st.logInvalid(KindMembers, b.Invalid)
	if !returned {
		st.memberList.apply(b, st.now)
		return st.updateMembers(b.AsOf)
	}
	st.memberList.applyReturned(b, st.members, st.now)
	return append(st.updateMembers(b.AsOf), st.removeDeadMembers()...)
}

// updateMembers takes over the members of the list as of the position.
func (st *state) updateMembers(at store.Position) []Action {
	members := st.memberList.members()
	if !slices.Equal(members, st.members) {
		st.logChange("members changed", logrus.Fields{"members": len(members), "before": len(st.members), "revision": at.Revision})
		st.members, st.changed = members, true
		clear(st.sendsToCold)
		if st.usage != nil {
			st.usage.candidates = nil
		}
	}
	st.countMembers()
	st.limitRetries()
	st.subscription.SetMembers(members, st.now)
	return append(st.register(), st.chooseSources()...)
}

// removeDeadMembers removes the entries of dead members that the store lists again after its return. One instance removes each; a member
// that runs writes its entry again.
func (st *state) removeDeadMembers() []Action {
	var out []Action
	for id := range st.memberList.dead {
		first := place.First(string(id), st.placementInstances(), 1)
		if len(first) == 1 && first[0].ID == st.self.ID {
			st.logChange("store lists a dead member again", logrus.Fields{"member": id, "era": st.era})
			out = append(out, DeregisterMember{ID: id})
		}
	}
	return out
}

// expireMembers takes over the members when what is known beyond the list has ended.
func (st *state) expireMembers() []Action {
	if !st.memberList.expire(st.now) {
		return nil
	}
	return st.updateMembers(st.positions[KindMembers])
}
