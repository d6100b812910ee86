package retry

import "time"

// Action is something that the adapter does for a call.
type Action interface {
	action()
}

type (
	// Send asks for a try at a server that no earlier try of the call was sent to. Remaining is the
	// time to the deadline.
	Send struct {
		Try       Try
		Hedge     bool
		Remaining time.Duration
	}

	// SetTimer asks for HedgeDue at the time.
	SetTimer struct{ At time.Time }

	// Cancel asks to cancel a try and to close its connection. Its response must not reach the caller.
	Cancel struct{ Try Try }

	// Drop asks to discard the response of a try that has ended.
	Drop struct{ Try Try }

	// Return asks to hand the response of the try to the caller. It is final.
	Return struct{ Try Try }

	// Reject asks to report that the call was not executed. It is final.
	Reject struct{ Cause Cause }

	// Unknown asks to report that the call may have been executed. It is final.
	Unknown struct{ Cause Cause }
)

var (
	_ Action = Send{}
	_ Action = SetTimer{}
	_ Action = Cancel{}
	_ Action = Drop{}
	_ Action = Return{}
	_ Action = Reject{}
	_ Action = Unknown{}
)

func (Send) action()     {}
func (SetTimer) action() {}
func (Cancel) action()   {}
func (Drop) action()     {}
func (Return) action()   {}
func (Reject) action()   {}
func (Unknown) action()  {}
