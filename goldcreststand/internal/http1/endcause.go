package http1

import "github.com/zeebo/errs"

// endCause is the reason for which a caller's connection ended.
type endCause int

// Causes of the end of a connection.
const (
	// endNone means that the connection has not ended.
	endNone endCause = iota
	// endCallerClosed means that the caller closed or reset the connection, or only its sending side.
	endCallerClosed // closed
	// endResponse means that a response said that the connection ends.
	endResponse
	// endAborted means that a handler broke off its response.
	endAborted
	// endIdle means that the connection was idle for too long.
	endIdle
	// endTimeout means that a request did not arrive in time.
	endTimeout
	// endStopping means that the server shuts down and the connection was idle.
	endStopping
	// endStalled means that the caller did not read a response.
	endStalled
	// endBudget means that the budget closed the connection, which had made no progress.
	endBudget
	// endServerClosed means that the server was closed, with all connections.
	endServerClosed // killed
)

//go:generate ../../../bin/enumer -type=endCause -trimprefix=end -transform=lower -linecomment -output=endcause_enumer.go

// err returns the cause with which the contexts of the connection's calls end.
func (c endCause) err() error { return errs.New("connection has ended: %s", c) }
