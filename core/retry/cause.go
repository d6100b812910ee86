package retry

// Cause says why a call ends without a server's response.
type Cause int

// Causes.
const (
	// CauseNone is no cause: the call has not failed.
	CauseNone Cause = iota
	// CauseNoServer is that no server had a free slot.
	CauseNoServer
	// CauseRefused is that no server accepted a connection.
	CauseRefused
	// CauseShed is that the server signalled that it did not execute the call.
	CauseShed
	// CauseBroken is that a connection broke after a byte of the request was handed to it.
	CauseBroken
	// CauseDeadline is that the deadline passed.
	CauseDeadline
	// CauseGone is that the caller closed its connection.
	CauseGone
)

//go:generate ../../bin/enumer -type=Cause -trimprefix=Cause -transform=lower -text -output=cause_enumer.go
