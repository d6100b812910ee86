package proxy

import (
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// unusedTime is the time after which the set of an address without connections is forgotten.
const unusedTime = time.Minute

// connSets holds the connections to all addresses.
type connSets struct {
	dialer Dialer
	clock  clockwork.Clock

	mu   sync.RWMutex
	sets map[netip.AddrPort]*connSet
}

func newConnSets(d Dialer, clock clockwork.Clock) *connSets {
	return &connSets{dialer: d, clock: clock, sets: make(map[netip.AddrPort]*connSet)}
}

// find returns the connections to the address.
func (s *connSets) find(address netip.AddrPort, size int) *connSet {
	s.mu.RLock()
	set, ok := s.sets[address]
	s.mu.RUnlock()
	if ok {
		return set
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if set, ok = s.sets[address]; !ok {
		set = newConnSet(address, size, s.dialer, s.clock)
		set.used = s.clock.Now()
		s.sets[address] = set
	}
	return set
}

// reap closes idle connections and forgets addresses that are no longer used.
func (s *connSets) reap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, set := range s.sets {
		if set.reap(unusedTime) {
			delete(s.sets, a)
		}
	}
}

// close closes all idle connections.
func (s *connSets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, set := range s.sets {
		set.mu.Lock()
		set.resize(0)
		set.mu.Unlock()
	}
}
