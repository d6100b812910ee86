package hub

import (
	"time"

	"goldcreststand.example/core/store"
)

// A store that returns to an older copy has lost what it had acknowledged since. The operator and the backend servers write their part
// again. Until then an instance goes on with what it knows to have been acknowledged.

// reaffirmTime is the time after the store's return within which the operator and the servers have written again what it lost.
const reaffirmTime = 30 * time.Second

// lost holds the names of what a list lacked, or had in an earlier state, after the store's return, with the time until which the
// acknowledged state stays in force. A later change of an object ends that for it.
type lost[N ~string] map[N]time.Time

// hold keeps the acknowledged state of the object in force.
func (l lost[N]) hold(name N, now time.Time) { l[name] = now.Add(reaffirmTime) }

// release ends that for the objects that the batch has.
func release[N ~string, T any](l lost[N], b store.Batch[T]) {
	for _, o := range b.Objects {
		delete(l, N(o.Name))
	}
	for _, n := range b.Removed {
		delete(l, N(n))
	}
}

// expire returns the names whose time is over, and forgets them.
func (l lost[N]) expire(now time.Time) []N {
	var out []N
	for name, until := range l {
		if !now.Before(until) {
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
