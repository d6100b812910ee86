// Package store defines what the platform's object store returns: objects of one kind, their changes
// and the errors of a call.
package store

import (
	"slices"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
)

// Classes of errors of a call to the store.
var (
	// ErrExpired means that the store no longer has the history that a watch requested.
	ErrExpired = errs.Class("history expired")
	// ErrConflict means that the object has another revision than the call expected, or exists already.
	ErrConflict = errs.Class("conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errs.Class("not found")
	// ErrUnavailable means that the call was not executed.
	ErrUnavailable = errs.Class("store unavailable")
	// ErrUnknown means that a call may have been executed, or may still be executed later.
	ErrUnknown = errs.Class("outcome unknown")
)

// Object is one object and the revision of its last change.
type Object[T any] struct {
	Name     string
	Revision ident.Revision
	Value    T
}

// InvalidObject is an object that could not be read.
type InvalidObject struct {
	Name     string
	Revision ident.Revision
	Err      error
}

// Batch is a list of all objects of a kind, or of the changes since a revision.
type Batch[T any] struct {
	// Complete is set when the batch lists all objects; an object that is missing from it does not
	// exist.
	Complete bool
	Objects  []Object[T]
	Removed  []string
	Invalid  []InvalidObject
	// LastValid holds objects whose newest form is invalid, in their last valid form. Only some kinds have them.
	LastValid []Object[T]
	// AsOf is the position of the store after the batch. The revisions of the batch's objects are of its era.
	AsOf Position
}

// Empty reports whether the batch has no changes.
func (b *Batch[T]) Empty() bool {
	return !b.Complete && len(b.Objects)+len(b.Removed)+len(b.Invalid)+len(b.LastValid) == 0
}

// RemoveObject removes all entries of the object from the batch, because a newer one follows.
func (b *Batch[T]) RemoveObject(name string) {
	b.Objects = slices.DeleteFunc(b.Objects, func(o Object[T]) bool { return o.Name == name })
	b.Removed = slices.DeleteFunc(b.Removed, func(n string) bool { return n == name })
	b.Invalid = slices.DeleteFunc(b.Invalid, func(f InvalidObject) bool { return f.Name == name })
	b.LastValid = slices.DeleteFunc(b.LastValid, func(o Object[T]) bool { return o.Name == name })
}
