package retry

import "time"

// Event is an input of a Call, with the time at which it occurred.
type Event interface {
	apply(c *Call)
}

type (
	// CallStarted reports that the call arrived.
	CallStarted struct{ At time.Time }

	// TryConnected reports that a try got its connection. Verified is false if the connection was idle for so long
	// that it may be dead without notice.
	TryConnected struct {
		At       time.Time
		Try      TryNumber
		Verified bool
	}

	// NoServerAvailable reports that no server was available for a try: nothing was sent.
	NoServerAvailable struct {
		At  time.Time
		Try TryNumber
	}

	// ConnectFailed reports that a try ended before any byte of the request was written to a connection, and that
	// none will be. BodyConsumed reports that the request body cannot be sent again.
	ConnectFailed struct {
		At           time.Time
		Try          TryNumber
		BodyConsumed bool
	}

	// TryShed reports that the server rejected the try and signalled that it did not execute it.
	TryShed struct {
		At           time.Time
		Try          TryNumber
		BodyConsumed bool
	}

	// ResponseReceived reports the header of a response without a server error.
	ResponseReceived struct {
		At  time.Time
		Try TryNumber
	}

	// ErrorResponseReceived reports the header of a response with a server error.
	ErrorResponseReceived struct {
		At           time.Time
		Try          TryNumber
		BodyConsumed bool
	}

	// ConnectionBroken reports that a try ended without a response after part of the request was written to a
	// connection: the server may have executed it.
	ConnectionBroken struct {
		At           time.Time
		Try          TryNumber
		BodyConsumed bool
	}

	// HedgeTimerFired reports that the timer set by SetHedgeTimer fired.
	HedgeTimerFired struct{ At time.Time }

	// DeadlinePassed reports that the call's deadline passed.
	DeadlinePassed struct{ At time.Time }

	// CallerDisconnected reports that the caller closed its connection.
	CallerDisconnected struct{ At time.Time }
)

var (
	_ Event = CallStarted{}
	_ Event = TryConnected{}
	_ Event = NoServerAvailable{}
	_ Event = ConnectFailed{}
	_ Event = TryShed{}
	_ Event = ResponseReceived{}
	_ Event = ErrorResponseReceived{}
	_ Event = ConnectionBroken{}
	_ Event = HedgeTimerFired{}
	_ Event = DeadlinePassed{}
	_ Event = CallerDisconnected{}
)

func (e CallStarted) apply(c *Call) {
	c.budget.Deposit(e.At)
	c.sendTry(e.At, false)
}

func (e TryConnected) apply(c *Call) {
	if t := c.try(e.Try); t != nil {
		t.unverified = !e.Verified
	}
}

func (e NoServerAvailable) apply(c *Call) {
	if !c.endTry(e.Try, CauseNoServer, false) {
		return
	}
	c.noServerLeft = true
	c.reportIfDone()
}

func (e ConnectFailed) apply(c *Call) {
	if !c.endTry(e.Try, CauseRefused, e.BodyConsumed) {
		return
	}
	// A failed connect costs the servers no work, so it does not use the budget.
	if c.pending() == 0 && c.mayResend(e.At) {
		c.sendTry(e.At, false)
	}
	c.reportIfDone()
}

func (e TryShed) apply(c *Call) {
	if !c.endTry(e.Try, CauseShed, e.BodyConsumed) {
		return
	}
	c.resend(e.At)
}

func (e ResponseReceived) apply(c *Call) {
	if c.acceptResponse(e.Try) {
		c.returnResponse(e.Try)
	}
}

func (e ErrorResponseReceived) apply(c *Call) {
	if !c.acceptResponse(e.Try) {
		return
	}
	c.bodyConsumed = c.bodyConsumed || e.BodyConsumed
	if !c.policy.Idempotent {
		c.returnResponse(e.Try)
		return
	}
	if c.pending() > 1 {
		c.discardResponse(e.Try)
		return
	}
	if c.mayResend(e.At) && c.budget.Withdraw(e.At) {
		c.discardResponse(e.Try)
		c.sendTry(e.At, false)
		return
	}
	c.returnResponse(e.Try)
}

func (e ConnectionBroken) apply(c *Call) {
	if !c.endTry(e.Try, CauseBroken, e.BodyConsumed) {
		return
	}
	c.executed = true
	if !c.policy.Idempotent {
		c.reportIfDone()
		return
	}
	c.resend(e.At)
}

func (e HedgeTimerFired) apply(c *Call) {
	if !c.policy.Idempotent || c.pending() == 0 || !c.mayResend(e.At) {
		return
	}
	// Replacing a connection that may be dead does not use the budget: after a network failure there are more of
	// them than the budget covers, and the connection pool bounds their number.
	if c.tries[len(c.tries)-1].unverified || c.budget.Withdraw(e.At) {
		c.sendTry(e.At, true)
	}
}

func (DeadlinePassed) apply(c *Call) { c.close(CauseDeadline) }

func (CallerDisconnected) apply(c *Call) { c.close(CauseGone) }
