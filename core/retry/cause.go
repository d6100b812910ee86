package retry

// Cause says why a call ended without a server's response.
type Cause int

// Causes of a call's end.
const (
	// CauseNone means that the call has not failed.
	CauseNone Cause = iota
	// CauseNoServer means that no server had a free slot.
	CauseNoServer
	// CauseRefused means that no connection to a server could be made.
	CauseRefused
	// CauseShed means that the server rejected the call and signalled that it did not execute it.
	CauseShed
	// CauseBroken means that a connection broke after part of the request was written to it.
	CauseBroken
	// CauseDeadline means that the deadline passed.
	CauseDeadline
	// CauseGone means that the caller closed its connection.
	CauseGone
)

//go:generate ../../bin/enumer -type=Cause -trimprefix=Cause -transform=lower -text -output=cause_enumer.go
