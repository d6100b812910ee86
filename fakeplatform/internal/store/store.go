// Package store is an in-memory object store with versions, conditional updates and watches. It keeps
// recent versions of each object to simulate reads from a lagging replica.
package store

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
)

// Errors of this package.
var (
	// ErrConflict is the class of errors of conditional updates whose condition does not hold.
	ErrConflict = errs.Class("conflict")
	// ErrNotFound is the class of errors of reads of objects that do not exist.
	ErrNotFound = errs.Class("not found")
)

// Absent is the version of an object that does not exist.
const Absent Version = 0

// MaxAge is the largest age that a read can ask for. Versions that were replaced longer ago are removed.
const MaxAge = time.Minute

// Key identifies an object.
type Key struct {
	Collection string
	Name       string
}

// Version is the number of a write; it increases with each write to the store.
type Version uint64

// Object is one version of an object.
type Object struct {
	Version Version
	Value   []byte
	written time.Time
}

// Store holds the versions of objects. It is safe for concurrent use.
type Store struct {
	clock       clockwork.Clock
	mu          sync.Mutex
	lastVersion Version
	// versions holds the versions of each object, oldest first.
	versions map[Key][]Object
	// changed is closed and replaced at each write.
	changed chan struct{}
}

// New returns an empty store.
func New(clock clockwork.Clock) *Store {
	return &Store{clock: clock, versions: make(map[Key][]Object), changed: make(chan struct{})}
}

// Get returns the object as it was age ago, and a channel that is closed at the next write to the store.
func (s *Store) Get(k Key, age time.Duration) (Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now().Add(-age)
	for _, o := range slices.Backward(s.versions[k]) {
		if !o.written.After(at) {
			return o, s.changed, nil
		}
	}
	return Object{}, s.changed, ErrNotFound.New("%s/%s", k.Collection, k.Name)
}

// Names returns the sorted names of the collection's objects as they were age ago, and a channel that is
// closed at the next write to the store.
func (s *Store) Names(collection string, age time.Duration) ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now().Add(-age)
	names := make([]string, 0, len(s.versions))
	for k, versions := range s.versions {
		if k.Collection == collection && !versions[0].written.After(at) {
			names = append(names, k.Name)
		}
	}
	slices.Sort(names)
	return names, s.changed
}

// Put writes the value if the object has the expected version, and returns the new version.
func (s *Store) Put(k Key, expect Version, value []byte) (Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := Absent
	if versions := s.versions[k]; len(versions) > 0 {
		current = versions[len(versions)-1].Version
	}
	if current != expect {
		return 0, ErrConflict.New("%s/%s has version %d, not %d", k.Collection, k.Name, current, expect)
	}
	return s.put(k, value), nil
}

// Set writes the value unconditionally, and returns the new version.
func (s *Store) Set(k Key, value []byte) Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(k, value)
}

func (s *Store) put(k Key, value []byte) Version {
	s.lastVersion++
	now := s.clock.Now()
	versions := s.versions[k]
	for len(versions) > 1 && now.Sub(versions[1].written) > MaxAge {
		versions = versions[1:]
	}
	s.versions[k] = append(slices.Clone(versions), Object{Version: s.lastVersion, Value: slices.Clone(value), written: now})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.lastVersion
}
