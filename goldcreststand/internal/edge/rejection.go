package edge

import (
	"net/http"
	"strconv"
	"time"
)

// cause is the reason for which a call ended without a backend server's response.
type cause int

// Causes.
const (
	causeNone cause = iota
	// causeInvalidRequest means that the request lacks a valid id or timeout.
	causeInvalidRequest // invalid
	// causeNotReady means that this instance has no configuration yet.
	causeNotReady // starting
	// causeStopping means that this instance stops, or may stop, before the call's deadline.
	causeStopping
	// causeQueued means that the deadline passed while earlier calls of the connection were answered.
	causeQueued
	causeNoRoute
	// causeUnauthorized means that the route needs a key of an organisation and the request has no valid one.
	causeUnauthorized
	causeTooLarge
	// causeNoMemory means that the bodies of other calls take all memory for bodies.
	causeNoMemory
	causeSlowBody
	// causeNoServer means that no server could take the call.
	causeNoServer
	// causeSaturated means that the servers stayed saturated for the whole wait.
	causeSaturated // crowded
	// causeHopeless means that no server could complete the call before its deadline.
	causeHopeless // hopeless
	// causeExceedsShare means that the servers were saturated and the caller's organisation had more than its share.
	causeExceedsShare // overshare
	// causeShed means that the servers rejected the call without executing it.
	causeShed
	// causePaused means that every server is leaving or has asked for a pause.
	causePaused
	// causeTimeout means that the deadline passed while a server executed the call.
	causeTimeout
	// causeBadResponse means that the connection broke or that the response was invalid.
	causeBadResponse // broken
	// causeServerError means that a server failed with a status that must not be forwarded.
	causeServerError // failed
	// causeCallerDisconnected means that the caller closed its connection.
	causeCallerDisconnected // gone
)

//go:generate ../../../bin/enumer -type=cause -trimprefix=cause -transform=lower -linecomment -output=cause_enumer.go

// rejection is a final response by this instance.
type rejection struct {
	// status is 0 if the caller's connection is closed without a response.
	status int
	cause  cause
	// retryAfter is the value of Retry-After, or 0 for none.
	retryAfter time.Duration
	err        error
}

// stoppingRejection returns the rejection of a call that was not executed and need not end before this instance stops.
func stoppingRejection() *rejection {
	return &rejection{status: http.StatusServiceUnavailable, cause: causeStopping, retryAfter: retryAfter}
}

// write sends the rejection to the caller, or closes its connection.
func (r *rejection) write(w http.ResponseWriter) {
	if r.status == 0 {
		panic(http.ErrAbortHandler)
	}
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.status)
}
