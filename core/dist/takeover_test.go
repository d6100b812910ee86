package dist_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/place"
)

// setPathExcept puts the path of all instances but the given ones into the mode.
func (s *sim) setPathExcept(m pathMode, but ...*node) {
	for _, n := range s.nodes {
		n.path = m
		if slices.Contains(but, n) {
			n.path = pathUp
		}
	}
}

// Guards against watchers whose calls get no response and that notice it only when the long waits end.
func TestSilentWatchersAreReplaced(t *testing.T) {
	for i := range 20 {
		s := newSim(1, 8, 1)
		s.advance(20*time.Second + time.Duration(i)*100*time.Millisecond)
		for _, w := range place.Serving(service(0), s.nodes[0].members, 2) {
			s.node(w.ID).path = pathSilent
		}
		r := s.edit(service(0))
		s.advance(simTarget)
		require.Empty(t, s.outdatedInstances(dist.TableKey(service(0)), r))
	}
}

// Guards against an instance that lost the platform for a moment, has no watch, and never notices that it
// is the only one to reach it.
func TestOnlyInstanceThatReachesThePlatformTakesOver(t *testing.T) {
	for _, m := range []pathMode{pathRefuses, pathSilent} {
		for lone := range 12 {
			s := newSim(1, 12, 1)
			s.advance(20 * time.Second)
			s.setPathExcept(m, s.nodes[lone])
			s.advance(20 * time.Second)
			s.platformPath = m
			s.advance(10 * time.Second)
			s.platformPath = pathUp
			r := s.edit(service(0))
			s.advance(simTarget)
			require.Empty(t, s.outdatedInstances(dist.TableKey(service(0)), r), "only %s reaches the platform", s.nodes[lone].id)
		}
	}
}

// Guards against an instance that gives its watches up to instances that come back from behind a partition
// and do not reach the platform.
func TestPartitionHealsTowardsInstancesWithoutPlatform(t *testing.T) {
	for lone := range 8 {
		s := newSim(1, 8, 1)
		s.advance(20 * time.Second)
		for i, n := range s.nodes {
			n.group = i % 2
		}
		s.setPathExcept(pathRefuses, s.nodes[lone])
		s.advance(25 * time.Second)
		for _, n := range s.nodes {
			n.group = 0
		}
		s.advance(time.Duration(lone) * 100 * time.Millisecond)
		r := s.edit(service(0))
		s.advance(simTarget)
		require.Empty(t, s.outdatedInstances(dist.TableKey(service(0)), r), "only %s reaches the platform", s.nodes[lone].id)
	}
}
