package relay

import (
	"slices"
	"time"
)

// StartCheck reports whether the instance is to check now that the store replies, and notes that it does.
func (s *Subscription) StartCheck(now time.Time) bool {
	due, ok := s.nextCheck()
	if !ok || now.Before(due) {
		return false
	}
	if !s.watches() && !s.contact.checkedAt.After(s.UpToDate()) {
		// What earlier checks showed says nothing about the store now.
		s.contact.pending, s.contact.failed, s.contact.regainedAt = nil, 0, time.Time{}
	}
	s.contact.start(now)
	return true
}

// nextCheck returns the time of the next check, if one is to be made.
func (s *Subscription) nextCheck() (time.Time, bool) {
	c := &s.contact
	stale := s.UpToDate().Add(checkAge)
	switch next := c.checkedAt.Add(s.checkBackoff()); {
	case s.watches() && (c.lost() || len(c.pending) > 0):
		return c.checkedAt.Add(MaxBackoff), true
	case s.watches():
		return latest(c.checkedAt, c.repliedAt, s.watchingSince).Add(checkInterval), true
	case s.UpToDate().IsZero():
		return time.Time{}, false
	case !c.checkedAt.After(s.UpToDate()):
		return stale, true
	default:
		return latest(next, stale), true
	}
}

// checkBackoff returns the time between two checks of an instance that does not watch the store.
func (s *Subscription) checkBackoff() time.Duration {
	return min(max(time.Duration(s.turn.Of)*fleetCheckInterval, MaxBackoff), maxCheckBackoff)
}

// HandleCheck notes the result of a check. It reports whether the store was silent for a moment and replies again. Watches that
// were sent meanwhile may never be answered.
func (s *Subscription) HandleCheck(sent time.Time, answered bool, now time.Time) (interrupted bool) {
	if !answered {
		s.contact.handleFailure(sent)
		return false
	}
	interrupted = s.contact.handleReply(sent, now)
	if !interrupted {
		s.advanceWatched()
	}
	return interrupted
}

// HandleStoreReply notes that the store answered another call than a check.
func (s *Subscription) HandleStoreReply(now time.Time) {
	s.contact.confirm(now, now)
	s.advanceWatched()
}

// SetCovered sets whether the instance's own watches cover the whole store.
func (s *Subscription) SetCovered(covered bool) {
	s.covered = covered
	s.advanceWatched()
}

// advanceWatched advances the time at which the instance's own watches kept it up to date.
func (s *Subscription) advanceWatched() {
	if s.covered && s.contact.confirmedAt.After(s.watchedAt) {
		s.watchedAt = s.contact.confirmedAt
	}
}

// Lost reports whether the store does not reply to the checks of this instance.
func (s *Subscription) Lost() bool { return s.contact.lost() }

// latest returns the latest of the times.
func latest(ts ...time.Time) time.Time { return slices.MaxFunc(ts, time.Time.Compare) }
