// Package store is an object store in memory with versions, conditional updates and watches. It keeps
// recent versions, so that a replica that lags can be shown.
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
	// ErrConflict is the class of conditional updates whose condition does not hold.
	ErrConflict = errs.Class("conflict")
	// ErrNotFound is the class of reads of absent objects.
	ErrNotFound = errs.Class("not found")
)

// Absent is the version of an object that does not exist.
const Absent Version = 0

// MaxAge is the largest age of a version that a read can ask for.
const MaxAge = time.Minute

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
	written time.Time
}

// Store holds objects.
type Store struct {
	clock clockwork.Clock
	mu    sync.Mutex
	last  Version
	// objects holds the versions of each object in their order.
	objects map[Key][]Object
	// changed is closed and replaced at each write.
	changed chan struct{}
}

// New returns an empty store.
func New(clock clockwork.Clock) *Store {
	return &Store{clock: clock, objects: make(map[Key][]Object), changed: make(chan struct{})}
}

// Get returns the object as it was age ago and a channel that is closed at the next write of the store.
func (s *Store) Get(k Key, age time.Duration) (Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now().Add(-age)
	for _, o := range slices.Backward(s.objects[k]) {
		if !o.written.After(at) {
			return o, s.changed, nil
		}
	}
	return Object{}, s.changed, ErrNotFound.New("%s/%s", k.Collection, k.Name)
}

// Names returns the sorted names of the collection's objects as they were age ago, and a channel that is
// closed at the next write of the store.
func (s *Store) Names(collection string, age time.Duration) ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.clock.Now().Add(-age)
	names := make([]string, 0, len(s.objects))
	for k, os := range s.objects {
		if k.Collection == collection && !os[0].written.After(at) {
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
	have := Absent
	if os := s.objects[k]; len(os) > 0 {
		have = os[len(os)-1].Version
	}
	if have != expect {
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
	now := s.clock.Now()
	os := s.objects[k]
	for len(os) > 1 && now.Sub(os[1].written) > MaxAge {
		os = os[1:]
	}
	s.objects[k] = append(slices.Clone(os), Object{Version: s.last, Value: slices.Clone(value), written: now})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.last
}
