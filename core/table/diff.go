package table

import (
	"cmp"
	"slices"

	"goldcreststand.example/core/ident"
)

// Change is one difference between two sets of rows. Old is nil for an added row, New for a removed
// one.
type Change struct {
	Old *Row
	New *Row
}

// Removal records who removed a row.
type Removal struct {
	Kind     Kind
	Name     string
	Author   string
	Revision ident.Revision
}

// maxRemovals is the maximum number of removals kept in a table.
const maxRemovals = 100

// maxRecentEdits is the maximum number of earlier edits kept in a table. An author reads the table back
// within seconds, during which others make few edits.
const maxRecentEdits = 8

// Diff returns the changes from the old rows to the new ones, ordered by kind and name.
func Diff(old, rows []Row) []Change {
	before := indexRows(old)
	after := indexRows(rows)
	var out []Change
	for s, n := range after {
		o := before[s]
		if o == nil || !o.sameSettings(*n) {
			out = append(out, Change{Old: o, New: n})
		}
	}
	for s, o := range before {
		if after[s] == nil {
			out = append(out, Change{Old: o})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		x, y := a.Row(), b.Row()
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return out
}

// Row returns the changed row: the new one, or the old one when it was removed.
func (c Change) Row() Row {
	if c.New != nil {
		return *c.New
	}
	return *c.Old
}

// ReplaceRows returns the table after an edit that replaces its rows. Each row that differs gets the
// author and the new revision; removed rows are recorded in Removed.
func (t *Table) ReplaceRows(rows []Row, author string, id ident.EditID) *Table {
	out := *t
	out.Revision++
	out.Author, out.Edit = author, id
	if t.Edit != "" {
		out.RecentEdits = append(slices.Clone(t.RecentEdits), t.Edit)
		out.RecentEdits = out.RecentEdits[max(0, len(out.RecentEdits)-maxRecentEdits):]
	}
	out.Rows = slices.Clone(rows)
	out.Removed = slices.Clone(t.Removed)
	before := indexRows(t.Rows)
	for i := range out.Rows {
		r := &out.Rows[i]
		r.Author, r.Changed = author, out.Revision
		if o := before[keyOf(*r)]; o != nil && o.sameSettings(*r) {
			r.Author, r.Changed = o.Author, o.Changed
		}
	}
	for _, c := range Diff(t.Rows, rows) {
		if c.New == nil {
			out.Removed = append(out.Removed, Removal{Kind: c.Old.Kind, Name: c.Old.Name, Author: author, Revision: out.Revision})
		}
	}
	if n := len(out.Removed); n > maxRemovals {
		out.Removed = out.Removed[n-maxRemovals:]
	}
	return &out
}

// SetRow returns the rows with r in the place of the row of the same kind and name, or at the end.
func SetRow(rows []Row, r Row) []Row {
	out := slices.Clone(rows)
	i := slices.IndexFunc(out, func(x Row) bool { return keyOf(x) == keyOf(r) })
	if i < 0 {
		return append(out, r)
	}
	out[i] = r
	return out
}

// sameSettings reports whether the rows are equal except for their author and revision.
func (r Row) sameSettings(o Row) bool {
	return r.Kind == o.Kind && r.Name == o.Name && r.Weight == o.Weight && r.Limit == o.Limit && r.State == o.State
}

func keyOf(r Row) rowKey { return rowKey{kind: r.Kind, name: r.Name} }

func indexRows(rows []Row) map[rowKey]*Row {
	out := make(map[rowKey]*Row, len(rows))
	for i := range rows {
		out[keyOf(rows[i])] = &rows[i]
	}
	return out
}

// StartRollout returns the table after an edit that starts a version rollout. Its attempt number is one
// above that of the previous rollout.
func (t *Table) StartRollout(spec RolloutSpec, author string, id ident.EditID) *Table {
	out := t.ReplaceRows(t.Rows, author, id)
	spec.Attempt = 1
	if t.Rollout != nil {
		spec.Attempt = t.Rollout.Attempt + 1
	}
	out.Rollout = &spec
	return out
}
