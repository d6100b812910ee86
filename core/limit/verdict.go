package limit

// Verdict says what happens to a call that asks for a slot.
type Verdict int

// Verdicts. Every call but a waiting one is rejected without having been executed.
const (
	// VerdictWait puts the call into the queue.
	VerdictWait Verdict = iota
	// VerdictFull rejects the call because the queue has no room for it.
	VerdictFull
	// VerdictTenant rejects the call because its tenant already has the largest part of a full queue.
	VerdictTenant
	// VerdictLate rejects the call because it could not be completed before its deadline.
	VerdictLate
)

//go:generate ../../bin/enumer -type=Verdict -trimprefix=Verdict -transform=lower -text -output=verdict_enumer.go
