package hub

import (
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// load notes that a kind was read. It reports whether the news is older than what is known, as a list may be that
// was on its way while another instance told something newer.
func (st *state) load(k Kind, whole bool, asOf ident.Revision) (old bool) {
	if whole && asOf < st.known[k] {
		return true
	}
	st.known[k] = max(st.known[k], asOf)
	if whole {
		st.listRevisions[k] = asOf
	}
	if !st.loaded[k] {
		st.loaded[k], st.changed = true, true
	}
	return false
}

// dropOutdated drops what a batch says of objects of which something newer is known: the store and other instances tell of the
// same changes.
func dropOutdated[T any](st *state, k Kind, b store.Batch[T]) store.Batch[T] {
	if b.Whole && b.AsOf < st.known[k] {
		return b
	}
	told := st.objectRevisions[k]
	if told == nil || b.Whole {
		told = make(map[string]ident.Revision)
		st.objectRevisions[k] = told
	}
	newer := func(name string, rev ident.Revision) bool {
		if !b.Whole && (rev < st.listRevisions[k] || rev < told[name]) {
			return false
		}
		told[name] = rev
		return true
	}
	out := store.Batch[T]{Whole: b.Whole, AsOf: b.AsOf}
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
func (st *state) invalid(k Kind, fs []store.Finding) {
	for _, f := range fs {
		st.belief("invalid object skipped", logrus.Fields{
			"kind": k.String(), "object": f.Name, "revision": f.Revision, "error": f.Err.Error(),
		})
	}
}
