// Package store is an object store in memory with versions, conditional updates and watches.
package store

import (
	"slices"
	"sync"

	"github.com/zeebo/errs"
)

// Errors of this package.
var (
	// ErrConflict is the class of conditional updates whose condition does not hold.
	ErrConflict = errs.Class("conflict")
	// ErrNotFound is the class of reads of absent objects.
	ErrNotFound = errs.Class("not found")
)

// Absent is the version of an object that does not exist.
const Absent Version = 0

// Key names an object.
type Key struct {
	Collection string
	Name       string
}

// Version numbers the writes of the store.
type Version uint64

// Object is one version of a value.
type Object struct {
	Version Version
	Value   []byte
}

// Store holds objects.
type Store struct {
	mu      sync.Mutex
	last    Version
	objects map[Key]Object
	// changed is closed and replaced at each write.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[Key]Object), changed: make(chan struct{})}
}

// Get returns the object and a channel that is closed at the next write of the store.
func (s *Store) Get(k Key) (Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
	if !ok {
		return Object{}, s.changed, ErrNotFound.New("%s/%s", k.Collection, k.Name)
	}
	return o, s.changed, nil
}

// Names returns the sorted names of the collection's objects, the version of its newest object, and
// a channel that is closed at the next write of the store.
func (s *Store) Names(collection string) ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects))
	for k := range s.objects {
		if k.Collection == collection {
			names = append(names, k.Name)
		}
	}
	slices.Sort(names)
	return names, s.changed
}

// Put writes the value when the object has the expected version, and returns the new version.
func (s *Store) Put(k Key, expect Version, value []byte) (Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.objects[k].Version; have != expect {
		return 0, ErrConflict.New("%s/%s has version %d, not %d", k.Collection, k.Name, have, expect)
	}
	return s.put(k, value), nil
}

// Set writes the value whatever version the object has, and returns the new version.
func (s *Store) Set(k Key, value []byte) Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(k, value)
}

func (s *Store) put(k Key, value []byte) Version {
	s.last++
	s.objects[k] = Object{Version: s.last, Value: slices.Clone(value)}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.last
}
