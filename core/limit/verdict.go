package limit

// Verdict is the admission decision on a call that requests a slot.
type Verdict int

// Admission decisions. A call with any verdict but VerdictWait is rejected without having been
// executed.
const (
	// VerdictWait adds the call to the queue.
	VerdictWait Verdict = iota
	// VerdictFull rejects the call because the queue has no room for it.
	VerdictFull
	// VerdictTenant rejects the call because its tenant already has the most calls in a full queue.
	VerdictTenant
	// VerdictLate rejects the call because it could not be completed before its deadline.
	VerdictLate
	// VerdictPaused rejects the call because every server is leaving or has asked for a pause.
	VerdictPaused
)

//go:generate ../../bin/enumer -type=Verdict -trimprefix=Verdict -transform=lower -text -output=verdict_enumer.go
