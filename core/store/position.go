package store

import (
	"cmp"
	"fmt"

	"goldcreststand.example/core/ident"
)

// Position is a state of the store's content. A store that has returned to an older copy of its content gives revisions out
// again, so that they order the states of one era only.
type Position struct {
	Era      ident.Era
	Revision ident.Revision
}

// Compare returns -1 if the position is earlier than the other one, 1 if it is later, and 0 if they are the same.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether the position is earlier than the other one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether the position is that before the first read.
func (p Position) IsZero() bool { return p == Position{} }

// WithRevision returns the position of another revision in the same era.
func (p Position) WithRevision(rev ident.Revision) Position {
	return Position{Era: p.Era, Revision: rev}
}

// String returns the era and the revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// Later returns the later one of two positions.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
