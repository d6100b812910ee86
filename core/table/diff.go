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

// Removal remembers who removed a row.
type Removal struct {
	Kind     Kind
	Name     string
	Author   string
	Revision ident.Revision
}

// maxRemovals bounds the removals that a table remembers.
const maxRemovals = 100

// maxRecent bounds the earlier edits that a table remembers. An author reads back within seconds, in
// which others make few edits.
const maxRecent = 8

// Diff returns the changes that lead from the old rows to the new ones, by kind and name.
func Diff(old, rows []Row) []Change {
	before := indexRows(old)
	after := indexRows(rows)
	var out []Change
	for s, n := range after {
		o := before[s]
		if o == nil || !o.same(*n) {
			out = append(out, Change{Old: o, New: n})
		}
	}
	for s, o := range before {
		if after[s] == nil {
			out = append(out, Change{Old: o})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		x, y := a.Subject(), b.Subject()
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	return out
}

// Subject returns the row that the change is about, as it is after the change where it still exists.
func (c Change) Subject() Row {
	if c.New != nil {
		return *c.New
	}
	return *c.Old
}

// Replace returns the table after an edit that replaces its rows. Each row that differs carries the
// author and the new revision; removed rows are remembered.
func (t *Table) Replace(rows []Row, author string, id ident.EditID) *Table {
	out := *t
	out.Revision++
	out.Author, out.Edit = author, id
	if t.Edit != "" {
		out.Recent = append(slices.Clone(t.Recent), t.Edit)
		out.Recent = out.Recent[max(0, len(out.Recent)-maxRecent):]
	}
	out.Rows = slices.Clone(rows)
	out.Removed = slices.Clone(t.Removed)
	before := indexRows(t.Rows)
	for i := range out.Rows {
		r := &out.Rows[i]
		r.Author, r.Changed = author, out.Revision
		if o := before[subjectOf(*r)]; o != nil && o.same(*r) {
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

// Set returns the rows with r in the place of the row of the same subject, or at the end.
func Set(rows []Row, r Row) []Row {
	out := slices.Clone(rows)
	i := slices.IndexFunc(out, func(x Row) bool { return subjectOf(x) == subjectOf(r) })
	if i < 0 {
		return append(out, r)
	}
	out[i] = r
	return out
}

// same reports whether the rows give the same instructions, whoever wrote them.
func (r Row) same(o Row) bool {
	return r.Kind == o.Kind && r.Name == o.Name && r.Weight == o.Weight && r.Limit == o.Limit && r.State == o.State
}

func subjectOf(r Row) subject { return subject{kind: r.Kind, name: r.Name} }

func indexRows(rows []Row) map[subject]*Row {
	out := make(map[subject]*Row, len(rows))
	for i := range rows {
		out[subjectOf(rows[i])] = &rows[i]
	}
	return out
}

// Start returns the table after an edit that starts a version rollout. The rollout's number is one
// above the last.
func (t *Table) Start(m Move, author string, id ident.EditID) *Table {
	out := t.Replace(t.Rows, author, id)
	m.Attempt = 1
	if t.Move != nil {
		m.Attempt = t.Move.Attempt + 1
	}
	out.Move = &m
	return out
}
