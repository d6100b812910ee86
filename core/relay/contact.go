package relay

import (
	"slices"
	"time"
)

const (
	// checkInterval is the time without a reply after which an instance that watches the store checks whether it still
	// replies. A watch that waits does not show it.
	checkInterval = 300 * time.Millisecond
	// CheckTimeout is the time after which a check has failed, as for other calls: the store can be sixty times as slow as usual.
	CheckTimeout = 2 * time.Second
	// lostChecks is the number of checks in succession that fail when the store counts as lost.
	lostChecks = 2
)

// contact is what an instance knows of whether the store replies to it.
type contact struct {
	// checkedAt is the time of the last check, and pending those of the checks that are in progress.
	checkedAt time.Time
	pending   []time.Time
	// confirmedAt is the start of the latest call of any kind that the store answered, and repliedAt the time of the latest
	// reply.
	confirmedAt, repliedAt time.Time
	// latency is the time that the store took to answer the last check.
	latency time.Duration
	// failed counts the checks that failed since the latest answered one.
	failed int
	// regainedAt is the time of the first reply after failed checks, or zero.
	regainedAt time.Time
}

// start notes that a check is sent.
func (c *contact) start(now time.Time) {
	c.checkedAt = now
	c.pending = append(c.pending, now)
}

// handleReply notes that the store answered a check, and reports whether it did not answer an earlier one. An earlier one that is in
// progress counts as failed, since the store answers within much less than the interval of the checks.
func (c *contact) handleReply(sent, now time.Time) bool {
	c.pending = slices.DeleteFunc(c.pending, func(at time.Time) bool {
		if at.Before(sent) {
			c.failed++
		}
		return !at.After(sent)
	})
	interrupted := c.failed > 0
	if interrupted {
		c.regainedAt = now
	}
	c.failed, c.latency = 0, now.Sub(sent)
	c.confirm(sent, now)
	return interrupted
}

// handleFailure notes that a check failed, unless that is known from the reply to a later one.
func (c *contact) handleFailure(sent time.Time) {
	if i := slices.Index(c.pending, sent); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
		c.failed++
	}
}

// confirm notes that the store answered a call.
func (c *contact) confirm(sent, now time.Time) {
	c.repliedAt = now
	if sent.After(c.confirmedAt) {
		c.confirmedAt = sent
	}
}

// lost reports whether the store does not reply.
func (c *contact) lost() bool { return c.failed >= lostChecks }
