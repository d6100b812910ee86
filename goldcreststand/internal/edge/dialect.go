// Package edge serves callers in deployments where every instance may use every backend server. It finds the route of
// a call, checks the load of a few servers, forwards the call to the one with the lowest cost and returns the response.
package edge

import (
	"net/http"
	"time"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/spread"
)

// Dialect reads and writes the header fields that callers and backend servers use.
type Dialect interface {
	// ReadRequest returns the id and the timeout of a caller's request. The timeout is 0 if the request has none.
	ReadRequest(h http.Header) (ident.RequestID, time.Duration, error)
	// Key returns the key of the caller's organisation, or an empty one.
	Key(h http.Header) access.Key
	// Prepare sets the fields of a request to a backend server. The server cancels the request after the time left. If the
	// configuration has organisations, it removes the key and the caller's own statement of its organisation, and sets
	// the name of the organisation that the key belongs to.
	Prepare(h http.Header, to ident.ServerID, left time.Duration, caller access.Caller)
	// RequestID and ServerID return the ids of the request and the server in a response, or the empty string.
	RequestID(h http.Header) ident.RequestID
	ServerID(h http.Header) ident.ServerID
	// NotExecuted reports whether the response states that the server did not execute the request.
	NotExecuted(status int, h http.Header) bool
	// Signed reports whether a response has the server's signature.
	Signed(h http.Header) bool
	// Load returns the load report of a response, and whether there is one.
	Load(h http.Header) (spread.LoadReport, bool)
	// Notice returns what a response says about the availability of its server.
	Notice(status int, h http.Header) notice.Notice
	// Clean removes the internal fields from a response.
	Clean(h http.Header)
}
