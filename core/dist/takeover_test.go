package dist_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/place"
)

// cutOff puts the path of all instances but the given ones into the mode.
func (s *sim) cutOff(m mode, but ...*node) {
	for _, n := range s.nodes {
		n.reach = m
		if slices.Contains(but, n) {
			n.reach = pathUp
		}
	}
}

// Guards against watchers whose calls get no response and that notice it only when the long waits end.
func TestSilentWatchersAreReplaced(t *testing.T) {
	for i := range 20 {
		s := newSim(1, 8, 1)
		s.advance(20*time.Second + time.Duration(i)*100*time.Millisecond)
		for _, w := range place.ServingInstances(service(0), s.nodes[0].view, 2) {
			s.node(w.ID).reach = pathSilent
		}
		r := s.edit(service(0))
		s.advance(simTarget)
		require.Empty(t, s.behind(dist.TableKey(service(0)), r))
	}
}

// Guards against an instance that lost the platform for a moment, has no watch, and never notices that it
// is the only one to reach it.
func TestOnlyInstanceThatReachesThePlatformTakesOver(t *testing.T) {
	for _, m := range []mode{pathRefuses, pathSilent} {
		for lone := range 12 {
			s := newSim(1, 12, 1)
			s.advance(20 * time.Second)
			s.cutOff(m, s.nodes[lone])
			s.advance(20 * time.Second)
			s.up = m
			s.advance(10 * time.Second)
			s.up = pathUp
			r := s.edit(service(0))
			s.advance(simTarget)
			require.Empty(t, s.behind(dist.TableKey(service(0)), r), "only %s reaches the platform", s.nodes[lone].id)
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
		s.cutOff(pathRefuses, s.nodes[lone])
		s.advance(25 * time.Second)
		for _, n := range s.nodes {
			n.group = 0
		}
		s.advance(time.Duration(lone) * 100 * time.Millisecond)
		r := s.edit(service(0))
		s.advance(simTarget)
		require.Empty(t, s.behind(dist.TableKey(service(0)), r), "only %s reaches the platform", s.nodes[lone].id)
	}
}
