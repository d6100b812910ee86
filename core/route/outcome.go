package route

import (
	"time"

	"goldcreststand.example/core/ident"
)

// Result says how one try of a call at a backend server ended.
type Result int

// Results of a try.
const (
	// ResultOK is a complete response without a server error.
	ResultOK Result = iota
	// ResultFailed is a complete response that reports a server error.
	ResultFailed
	// ResultShed is the server's signal that it rejected the call and did not execute it.
	ResultShed
	// ResultRefused is a connection that could not be made: the call was not executed.
	ResultRefused
	// ResultBroken is a connection that broke after a byte of the request was handed to it.
	ResultBroken
	// ResultTimeout is a deadline that passed without a complete response.
	ResultTimeout
	// ResultCanceled is a caller that went away, or a hedge that another try made needless.
	ResultCanceled
)

//go:generate ../../bin/enumer -type=Result -trimprefix=Result -transform=lower -text -output=result_enumer.go

// TryOutcome is what traffic reports to control about one try of a call.
type TryOutcome struct {
	Service ident.ServiceName
	Server  ident.ServerID
	Version ident.VersionName
	Route   ident.RouteName
	Result  Result
	// Start is the time at which the try began.
	Start time.Time
	// Latency is the time to the head of the response, so that slow callers do not count, or to the end
	// of a try without one.
	Latency time.Duration
	// Inflight and Slots are the load that the server reported in its response; Slots is 0 when it
	// reported none.
	Inflight ident.Slots
	Slots    ident.Slots
	// Draining says that the server announced that it takes no more work.
	Draining bool
}
