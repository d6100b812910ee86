// Package table holds the routing table of a service: rows of weights and limits that operators edit.
package table

import (
	"time"

	"goldcreststand.example/core/ident"
)

// DefaultWeight is the weight of a subject that has no row.
const DefaultWeight ident.Weight = 100

// NoLimit is the limit of a row that does not bound its subject.
const NoLimit ident.Slots = 0

// Row gives the weight and limit of one backend server, failure domain, version or the whole service.
type Row struct {
	Kind   Kind
	Name   string
	Weight ident.Weight
	// Limit is the largest number of calls in flight over all instances, or NoLimit.
	Limit ident.Slots
	State State
	// Author made the last change of the row, at the revision Changed.
	Author  string
	Changed ident.Revision
}

// Move asks for a version rollout: traffic goes from one version to another until the deadline.
type Move struct {
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
	// Removed are the rows that were removed last, oldest first.
	Removed []Removal
	// Recent are the edits before this one, oldest first, so that the author of an edit whose response was
	// lost recognises it after others have edited the table.
	Recent []ident.EditID
	// Move is the newest version rollout, or nil when there has been none.
	Move *Move
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

// Newer reports whether t replaces other under the join by revision. A nil table is older than any.
func (t *Table) Newer(other *Table) bool {
	if t == nil {
		return false
	}
	return other == nil || t.Revision > other.Revision
}
