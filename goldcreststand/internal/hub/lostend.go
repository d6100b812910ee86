package hub

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/place"
)

const (
	// maxRestorers is the number of instances that write the end of a rollout again after the store has lost it. The deciding
	// instance may have started since and not know the end.
	maxRestorers = 3
	// restoreDelay is the time by which each of them waits longer than the one before it, so that it can read the other's write.
	restoreDelay = time.Second
	// restoreInterval is the minimum time between two such writes of an instance.
	restoreInterval = 2 * time.Second
)

// restoreEnds requests the write of ends of rollouts that the store has lost by its return to an older copy. Until then a process
// that starts would decide about the rollout anew.
func (st *state) restoreEnds() []Action {
	var out []Action
	for n, s := range st.services {
		end, lost := s.rollout.LostEnd()
		if !lost {
			s.endLostAt = time.Time{}
			continue
		}
		if s.endLostAt.IsZero() {
			s.endLostAt = st.now
			st.logChange("store has lost the end of a rollout", logrus.Fields{
				"service": n, "version": s.rollout.Order().Version, "phase": end.String(), "stored": s.rollout.Order().Phase.String(), "era": st.era,
			})
		}
		if st.restoresEnd(n, s) {
			s.endWrittenAt = st.now
			out = append(out, st.writePhase(s, end))
		}
	}
	return out
}

// restoresEnd reports whether it is this instance's turn to write the end of the service's rollout again.
func (st *state) restoresEnd(n ident.ServiceName, s *service) bool {
	if !st.mayWritePhase(s) || st.shuttingDown || st.now.Sub(s.endWrittenAt) < restoreInterval {
		return false
	}
	order := place.ServingInstances(n, st.placementInstances(), maxRestorers)
	rank := slices.IndexFunc(order, func(i place.Instance) bool { return i.ID == st.self.ID })
	return rank >= 0 && st.now.Sub(s.endLostAt) >= time.Duration(rank)*restoreDelay
}
