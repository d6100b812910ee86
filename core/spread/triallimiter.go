package spread

import (
	"sync/atomic"

	"goldcreststand.example/core/ident"
)

// TrialLimiter bounds the share of a service's calls that this instance sends to the canary pool. It is
// safe for concurrent use; concurrent calls can exceed the bound by their number.
type TrialLimiter struct {
	share      ident.Share
	slack      int64
	calls      atomic.Int64
	trialCalls atomic.Int64
}

// NewTrialLimiter returns a limiter that allows the share of all calls, plus slack calls.
func NewTrialLimiter(share ident.Share, slack int64) *TrialLimiter {
	return &TrialLimiter{share: share, slack: slack}
}

// RecordCall counts a call to the service.
func (l *TrialLimiter) RecordCall() { l.calls.Add(1) }

// Clone returns a copy, whose changes do not affect l.
func (l *TrialLimiter) Clone() *TrialLimiter {
	out := NewTrialLimiter(l.share, l.slack)
	out.calls.Store(l.calls.Load())
	out.trialCalls.Store(l.trialCalls.Load())
	return out
}

// Allow counts a call to the canary pool if the limit allows it, and reports whether it does.
func (l *TrialLimiter) Allow() bool {
	n := l.trialCalls.Add(1)
	if n <= l.calls.Load()*int64(l.share)/int64(ident.FullShare)+l.slack {
		return true
	}
	l.trialCalls.Add(-1)
	return false
}
