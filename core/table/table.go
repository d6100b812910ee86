// Package table holds the routing table of a service: rows of weights and limits that operators edit.
package table

import (
	"time"

	"goldcreststand.example/core/ident"
)

// DefaultWeight is the weight of a server, failure domain or version that has no row.
const DefaultWeight ident.Weight = 100

// NoLimit is the limit of a row that sets no limit.
const NoLimit ident.Slots = 0

// Row sets the weight, limit and state of one backend server, failure domain, version or the whole
// service.
type Row struct {
	Kind   Kind
	Name   string
	Weight ident.Weight
	// Limit is the maximum number of calls in flight over all instances, or NoLimit.
	Limit ident.Slots
	State State
	// Author is the author of the last change of the row, which was made at revision Changed.
	Author  string
	Changed ident.Revision
}

// RolloutSpec requests a version rollout: traffic moves from one version to another until the deadline.
type RolloutSpec struct {
	Attempt  ident.Attempt
	From     ident.VersionName
	To       ident.VersionName
	Deadline time.Time
}

// Table is the routing table of one service. It is immutable once published.
type Table struct {
	Service  ident.ServiceName
	Revision ident.Revision
	Edit     ident.EditID
	Author   string
	Rows     []Row
	// Removed holds the most recent removals of rows, oldest first.
	Removed []Removal
	// RecentEdits holds the edits before this one, oldest first. The author of an edit whose response
	// was lost finds it there after others have edited the table.
	RecentEdits []ident.EditID
	// Rollout is the newest version rollout, or nil when there has been none.
	Rollout *RolloutSpec
}

// Find returns the row of the given kind and name.
func (t *Table) Find(kind Kind, name string) (Row, bool) {
	for _, r := range t.Rows {
		if r.Kind == kind && r.Name == name {
			return r, true
		}
	}
	return Row{}, false
}

// Newer reports whether t replaces other when the two are merged by revision. A nil table is older than
// any.
func (t *Table) Newer(other *Table) bool {
	if t == nil {
		return false
	}
	return other == nil || t.Revision > other.Revision
}
