package hub

import (
	"time"

	"github.com/sirupsen/logrus"
)

// deniedInterval is the minimum time between two log lines about retries that were denied.
const deniedInterval = time.Second

// limitRetries sets this instance's part of the extra retries in the budgets of all services.
func (st *state) limitRetries() {
	extra := st.extraRetries.At(st.now)
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
