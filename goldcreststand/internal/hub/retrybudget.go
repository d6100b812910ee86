package hub

import (
	"time"

	"github.com/sirupsen/logrus"
)

// deniedInterval is the minimum time between two log lines about retries that were denied.
const deniedInterval = time.Second

// extraRetries returns this instance's part of the extra retries of a service. It is 0 in the first window, when those of
// a process that ran before on the same machine may still count, and while the other instances are not known.
func (st *state) extraRetries() float64 {
	if st.now.Sub(st.started) < st.self.Bounds.RetryWindow || !st.loaded[KindMembers] {
		return 0
	}
	return st.self.Bounds.RetryExtra / float64(st.instances())
}

// limitRetries sets this instance's part of the extra retries in the budgets of all services.
func (st *state) limitRetries() {
	extra := st.extraRetries()
	for _, s := range st.services {
		s.retryBudget.SetExtra(extra)
	}
}

// logDeniedRetries logs the services whose retry budget has denied retries since the last line.
func (st *state) logDeniedRetries() {
	if st.now.Sub(st.deniedAt) < deniedInterval {
		return
	}
	st.deniedAt = st.now
	for n, s := range st.services {
		u := s.retryBudget.Usage(st.now)
		if u.Denied == s.deniedRetries {
			continue
		}
		st.logChange("retry budget exhausted", logrus.Fields{
			"service": n, "denied": u.Denied - s.deniedRetries, "calls": u.Calls, "retries": u.Resends,
			"extra": u.Extra, "members": len(st.members), "running": st.now.Sub(st.started).Milliseconds(),
		})
		s.deniedRetries = u.Denied
	}
}
