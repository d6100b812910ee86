// Package edge serves callers where every instance may use every backend server: it finds the route of a
// call, checks a few servers, sends the call to the best one and returns the whole response.
package edge

import (
	"net/http"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/spread"
)

// Dialect knows the header fields that callers and backend servers use.
type Dialect interface {
	// ReadRequest returns the id of a caller's request and the time for which the caller waits, 0 when it does
	// not say.
	ReadRequest(h http.Header) (ident.RequestID, time.Duration, error)
	// Prepare sets the fields for a backend server, which stops its work when the time is over.
	Prepare(h http.Header, to ident.ServerID, left time.Duration)
	// RequestID and ServerID return the request and the server that a response names, or none.
	RequestID(h http.Header) ident.RequestID
	ServerID(h http.Header) ident.ServerID
	// NotExecuted reports whether a server says that it did not execute the request.
	NotExecuted(status int, h http.Header) bool
	// Signed reports whether a response carries the server's proof that it is its own.
	Signed(h http.Header) bool
	// Load returns the load that a response tells, and whether it tells one.
	Load(h http.Header) (spread.LoadReport, bool)
	// Clean removes the fields of a response that are not for callers.
	Clean(h http.Header)
}
