// Package retry decides how one call is carried out: which tries are sent, when a hedge is sent, and what the
// caller is told. A call that is not idempotent is executed at most once.
package retry

import "time"

// TryNumber is the number of a try within its call, from 1.
type TryNumber int

// Budget bounds the resends of the calls of a service.
type Budget interface {
	// Deposit records a new call.
	Deposit(at time.Time)
	// Withdraw takes one resend and reports whether it is allowed.
	Withdraw(at time.Time) bool
}

// Policy says how a call may be retried.
type Policy struct {
	// Idempotent reports that the call may be executed more than once.
	Idempotent bool
	// MaxTries is the maximum number of tries.
	MaxTries int
	// HedgeDelay is the time after which an idempotent call without a response is sent to another server too; 0
	// disables hedging. Each send starts a new delay, because after a network failure the connections to several
	// servers may be dead and one hedge is not always enough.
	HedgeDelay time.Duration
}

// Call is the state of one call. It is not safe for concurrent use.
type Call struct {
	policy   Policy
	budget   Budget
	deadline time.Time
	tries    []tryState
	// closeCause is the reason for which the call ends early.
	closeCause Cause
	// lastCause is the reason for the end of the try that ended last.
	lastCause Cause
	// executed reports that a server may have executed the call.
	executed bool
	// bodyConsumed reports that the request body cannot be sent again.
	bodyConsumed bool
	noServerLeft bool
	final        bool
	actions      []Action
}

// tryState is the state of one try.
type tryState struct {
	ended      bool
	canceled   bool
	unverified bool
}

// New returns a call that ends at the deadline. The budget is that of the call's service.
func New(p Policy, b Budget, deadline time.Time) *Call {
	return &Call{policy: p, budget: b, deadline: deadline}
}

// Handle applies the event and returns the actions to carry out. The result is valid until the next call of
// Handle. After a final action only CancelTry and DiscardResponse follow.
func (c *Call) Handle(ev Event) []Action {
	c.actions = c.actions[:0]
	ev.apply(c)
	return c.actions
}

// Final reports whether a final action was returned.
func (c *Call) Final() bool { return c.final }

func (c *Call) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Call) try(t TryNumber) *tryState {
	if t < 1 || int(t) > len(c.tries) {
		return nil
	}
	return &c.tries[t-1]
}

// pending counts the tries that have not ended.
func (c *Call) pending() int {
	n := 0
	for _, t := range c.tries {
		if !t.ended {
			n++
		}
	}
	return n
}

// endTry records the end of a try, and reports whether the call continues.
func (c *Call) endTry(n TryNumber, cause Cause, bodyConsumed bool) bool {
	t := c.try(n)
	if t == nil || t.ended {
		return false
	}
	t.ended = true
	// The absence of further servers is less specific than the cause of the earlier try's end.
	if cause != CauseNoServer || c.lastCause == CauseNone {
		c.lastCause = cause
	}
	c.bodyConsumed = c.bodyConsumed || bodyConsumed
	if cause == CauseBroken {
		c.executed = true
	}
	if c.closeCause != CauseNone {
		c.reportIfDone()
		return false
	}
	return !c.final
}

// acceptResponse records that a response header arrived, and reports whether the call can still use the
// response. A late response is discarded.
func (c *Call) acceptResponse(n TryNumber) bool {
	t := c.try(n)
	if t == nil || t.ended {
		return false
	}
	c.executed = true
	if c.closeCause == CauseNone && !c.final {
		return true
	}
	c.discardResponse(n)
	c.reportIfDone()
	return false
}

// mayResend reports whether another try is allowed.
func (c *Call) mayResend(at time.Time) bool {
	return !c.final && c.closeCause == CauseNone && !c.noServerLeft && !c.bodyConsumed && len(c.tries) < c.policy.MaxTries && at.Before(c.deadline)
}

// resend sends the call again if no other try is pending and the budget allows it.
func (c *Call) resend(at time.Time) {
	if c.pending() == 0 && c.mayResend(at) && c.budget.Withdraw(at) {
		c.sendTry(at, false)
	}
	c.reportIfDone()
}

func (c *Call) sendTry(at time.Time, hedge bool) {
	if !at.Before(c.deadline) {
		c.close(CauseDeadline)
		return
	}
	c.tries = append(c.tries, tryState{})
	c.emit(SendTry{Try: TryNumber(len(c.tries)), Hedge: hedge, Remaining: c.deadline.Sub(at)})
	if c.policy.Idempotent && c.policy.HedgeDelay > 0 {
		c.emit(SetHedgeTimer{At: at.Add(c.policy.HedgeDelay)})
	}
}

// returnResponse returns the response of the try to the caller and cancels the other tries.
func (c *Call) returnResponse(n TryNumber) {
	c.tries[n-1].ended = true
	c.final = true
	for i := range c.tries {
		if TryNumber(i+1) != n {
			c.cancelTry(TryNumber(i + 1))
		}
	}
	c.emit(ReturnResponse{Try: n})
}

func (c *Call) cancelTry(n TryNumber) {
	t := &c.tries[n-1]
	if t.ended || t.canceled {
		return
	}
	t.canceled = true
	c.emit(CancelTry{Try: n})
}

func (c *Call) discardResponse(n TryNumber) {
	c.tries[n-1].ended = true
	c.emit(DiscardResponse{Try: n})
}

// close cancels all tries. The final action waits until every try has ended, because only then it is certain
// that no further byte of the request is written to a connection.
func (c *Call) close(cause Cause) {
	if c.final || c.closeCause != CauseNone {
		return
	}
	c.closeCause = cause
	for i := range c.tries {
		c.cancelTry(TryNumber(i + 1))
	}
	c.reportIfDone()
}

// reportIfDone emits the final action if no try is pending.
func (c *Call) reportIfDone() {
	if c.final || c.pending() > 0 {
		return
	}
	c.final = true
	cause := c.lastCause
	if c.closeCause != CauseNone {
		cause = c.closeCause
	}
	if c.executed {
		c.emit(ReportUnknown{Cause: cause})
		return
	}
	c.emit(RejectCall{Cause: cause})
}
