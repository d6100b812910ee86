package hub

import (
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// acceptBatch records that a kind was read, and returns the batch without objects for which a newer revision is
// known: the store and other instances report the same changes. It reports false for a complete list older than
// the known position, which happens when another instance reported newer changes while the list was in transit.
func acceptBatch[T any](st *state, k Kind, b store.Batch[T]) (store.Batch[T], bool) {
	if b.Complete && b.AsOf.Before(st.positions[k]) {
		st.logDropped(k, b.AsOf)
		return b, false
	}
	out := dropOutdated(st, k, b)
	st.positions[k] = store.Later(st.positions[k], b.AsOf)
	if b.Complete {
		st.listPositions[k] = b.AsOf
	}
	if !st.loaded[k] {
		st.loaded[k], st.changed = true, true
	}
	return out, true
}

// dropOutdated removes from a batch the objects for which a newer revision is known.
func dropOutdated[T any](st *state, k Kind, b store.Batch[T]) store.Batch[T] {
	positions := st.objectPositions[k]
	if positions == nil || b.Complete {
		positions = make(map[string]store.Position)
		st.objectPositions[k] = positions
	}
	dropped := 0
	newer := func(name string, rev ident.Revision) bool {
		at := b.AsOf.WithRevision(rev)
		if !b.Complete && (at.Before(st.listPositions[k]) || at.Before(positions[name])) {
			dropped++
			return false
		}
		positions[name] = at
		return true
	}
	out := store.Batch[T]{Complete: b.Complete, AsOf: b.AsOf, LastValid: b.LastValid}
	for _, o := range b.Objects {
		if newer(o.Name, o.Revision) {
			out.Objects = append(out.Objects, o)
		}
	}
	for _, n := range b.Removed {
		if newer(n, b.AsOf.Revision) {
			out.Removed = append(out.Removed, n)
		}
	}
	for _, f := range b.Invalid {
		if newer(f.Name, f.Revision) {
			out.Invalid = append(out.Invalid, f)
		}
	}
	if dropped > 0 && b.AsOf.Era != st.positions[k].Era {
		st.logDropped(k, b.AsOf)
	}
	return out
}

// logDropped logs an update of which something is dropped as outdated.
func (st *state) logDropped(k Kind, at store.Position) {
	st.logChange("outdated update dropped", logrus.Fields{
		"kind": k.String(), "position": at.String(), "known": st.positions[k].String(), "source": st.source(),
	})
}

// logInvalid logs the objects that could not be decoded. The other objects of the batch are used.
func (st *state) logInvalid(k Kind, fs []store.InvalidObject) {
	for _, f := range fs {
		st.logChange("invalid object skipped", logrus.Fields{
			"kind": k.String(), "object": f.Name, "revision": f.Revision, "error": f.Err.Error(),
		})
	}
}
