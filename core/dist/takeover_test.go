package dist_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/place"
)

// setPathExcept sets the path mode of all instances except the given ones, whose paths are up.
func (s *sim) setPathExcept(m pathMode, but ...*instance) {
	for _, n := range s.instances {
		n.path = m
		if slices.Contains(but, n) {
			n.path = pathUp
		}
	}
}

// Guards against watchers whose calls get no response and that detect it only after the long wait.
func TestSilentWatchersAreReplaced(t *testing.T) {
	for i := range 20 {
		s := newSim(1, 8, 1)
		s.advance(20*time.Second + time.Duration(i)*100*time.Millisecond)
		for _, w := range place.ServingInstances(service(0), s.instances[0].members, 2) {
			s.instance(w.ID).path = pathSilent
		}
		r := s.edit(service(0))
		s.advance(simTarget)
		require.Empty(t, s.outdatedInstances(dist.TableKey(service(0)), r))
	}
}

// Guards against an instance without a watch that briefly did not reach the platform and does not detect that it
// is now the only one that does.
func TestOnlyInstanceThatReachesThePlatformTakesOver(t *testing.T) {
	for _, m := range []pathMode{pathRefuses, pathSilent} {
		for online := range 12 {
			s := newSim(1, 12, 1)
			s.advance(20 * time.Second)
			s.setPathExcept(m, s.instances[online])
			s.advance(20 * time.Second)
			s.platformPath = m
			s.advance(10 * time.Second)
			s.platformPath = pathUp
			r := s.edit(service(0))
			s.advance(simTarget)
			require.Empty(t, s.outdatedInstances(dist.TableKey(service(0)), r), "only %s reaches the platform", s.instances[online].id)
		}
	}
}

// Guards against an instance that hands its watches over to instances that rejoin after a partition but do not
// reach the platform.
func TestOnlineWatcherKeepsWatchAfterPartition(t *testing.T) {
	for online := range 8 {
		s := newSim(1, 8, 1)
		s.advance(20 * time.Second)
		for i, n := range s.instances {
			n.side = i % 2
		}
		s.setPathExcept(pathRefuses, s.instances[online])
		s.advance(25 * time.Second)
		for _, n := range s.instances {
			n.side = 0
		}
		s.advance(time.Duration(online) * 100 * time.Millisecond)
		r := s.edit(service(0))
		s.advance(simTarget)
		require.Empty(t, s.outdatedInstances(dist.TableKey(service(0)), r), "only %s reaches the platform", s.instances[online].id)
	}
}
