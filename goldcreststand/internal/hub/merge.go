package hub

import (
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// accept notes that a kind was read, and returns what the batch says of objects of which nothing newer is known: the
// store and other instances tell of the same changes. It reports false for a list that is older than what is known, as
// one may be that was on its way while another instance told something newer.
func accept[T any](st *state, k Kind, b store.Batch[T]) (store.Batch[T], bool) {
	if b.Complete && b.AsOf < st.known[k] {
		return b, false
	}
	out := dropOutdated(st, k, b)
	st.known[k] = max(st.known[k], b.AsOf)
	if b.Complete {
		st.listRevisions[k] = b.AsOf
	}
	if !st.loaded[k] {
		st.loaded[k], st.changed = true, true
	}
	return out, true
}

// dropOutdated drops what a batch says of objects of which something newer is known.
func dropOutdated[T any](st *state, k Kind, b store.Batch[T]) store.Batch[T] {
	told := st.objectRevisions[k]
	if told == nil || b.Complete {
		told = make(map[string]ident.Revision)
		st.objectRevisions[k] = told
	}
	newer := func(name string, rev ident.Revision) bool {
		if !b.Complete && (rev < st.listRevisions[k] || rev < told[name]) {
			return false
		}
		told[name] = rev
		return true
	}
	out := store.Batch[T]{Complete: b.Complete, AsOf: b.AsOf}
	for _, o := range b.Objects {
		if newer(o.Name, o.Revision) {
			out.Objects = append(out.Objects, o)
		}
	}
	for _, n := range b.Removed {
		if newer(n, b.AsOf) {
			out.Removed = append(out.Removed, n)
		}
	}
	for _, f := range b.Invalid {
		if newer(f.Name, f.Revision) {
			out.Invalid = append(out.Invalid, f)
		}
	}
	return out
}

// invalid logs the objects that could not be read; the others hold.
func (st *state) invalid(k Kind, fs []store.InvalidObject) {
	for _, f := range fs {
		st.belief("invalid object skipped", logrus.Fields{
			"kind": k.String(), "object": f.Name, "revision": f.Revision, "error": f.Err.Error(),
		})
	}
}
