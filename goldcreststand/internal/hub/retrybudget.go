package hub

import (
	"time"

	"github.com/sirupsen/logrus"
)

// deniedInterval is the minimum time between two log lines about retries that were denied.
const deniedInterval = time.Second

// retryExtra returns the part of the extra retries that this instance may send.
func (st *state) retryExtra() float64 { return st.self.Bounds.RetryExtra / float64(st.instances()) }

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
