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
	// ResultShed is a rejection by the server, which signalled that it did not execute the call.
	ResultShed
	// ResultRefused is a failure to connect: the call was not executed.
	ResultRefused
	// ResultBroken is a connection that broke after part of the request was written to it.
	ResultBroken
	// ResultTimeout is a deadline that expired before the response was complete.
	ResultTimeout
	// ResultCanceled is a try canceled because the caller disconnected or another try succeeded first.
	ResultCanceled
)

//go:generate ../../bin/enumer -type=Result -trimprefix=Result -transform=lower -text -output=result_enumer.go

// TryOutcome is the report on one try of a call that traffic goroutines send to the control loop.
type TryOutcome struct {
	Service ident.ServiceName
	Server  ident.ServerID
	Version ident.VersionName
	Route   ident.RouteName
	Result  Result
	// Start is the time at which the try began.
	Start time.Time
	// Latency is the time to the response header, or to the end of the try if there was none. The body is
	// left out because a slow caller delays it.
	Latency time.Duration
	// Inflight and Slots are the load reported in the server's response; Slots is 0 without a report.
	Inflight ident.Slots
	Slots    ident.Slots
	// Draining reports that the server announced that it accepts no more calls.
	Draining bool
}
