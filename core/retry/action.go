package retry

import "time"

// Action is an output of a Call, to be executed by the code that calls Handle.
type Action interface {
	action()
}

type (
	// SendTry sends the call to a server that no earlier try was sent to. Remaining is the time to the deadline.
	SendTry struct {
		Try       TryNumber
		Hedge     bool
		Remaining time.Duration
	}

	// SetHedgeTimer starts a timer that fires HedgeTimerFired at the time.
	SetHedgeTimer struct{ At time.Time }

	// CancelTry cancels a try and closes its connection. Its response must not reach the caller.
	CancelTry struct{ Try TryNumber }

	// DiscardResponse discards the response of a try that has ended.
	DiscardResponse struct{ Try TryNumber }

	// ReturnResponse returns the response of the try to the caller. It is final.
	ReturnResponse struct{ Try TryNumber }

	// RejectCall tells the caller that the call was not executed. It is final.
	RejectCall struct{ Cause Cause }

	// ReportUnknown tells the caller that the call may have been executed. It is final.
	ReportUnknown struct{ Cause Cause }
)

var (
	_ Action = SendTry{}
	_ Action = SetHedgeTimer{}
	_ Action = CancelTry{}
	_ Action = DiscardResponse{}
	_ Action = ReturnResponse{}
	_ Action = RejectCall{}
	_ Action = ReportUnknown{}
)

func (SendTry) action()         {}
func (SetHedgeTimer) action()   {}
func (CancelTry) action()       {}
func (DiscardResponse) action() {}
func (ReturnResponse) action()  {}
func (RejectCall) action()      {}
func (ReportUnknown) action()   {}
