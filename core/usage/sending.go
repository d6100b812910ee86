package usage

import "time"

// backoff is the time until the next call after failed ones.
type backoff struct {
	delay time.Duration
	until time.Duration
}

func (b *backoff) due(boot time.Duration) bool { return boot >= b.until }

func (b *backoff) fail(boot, longest time.Duration) {
	b.delay = min(max(2*b.delay, minBackoff), longest)
	b.until = boot + b.delay
}

func (b *backoff) reset() { *b = backoff{} }

// dueReports returns the reports of the windows that have ended for long enough and are not stored yet.
func (r *Reporter) dueReports(at Time) []Report {
	last := r.settings.WindowAt(at.Wall-settleTime) - 1
	first := max(r.firstWindow(), last-MaxWindows+1)
	var out []Report
	for w := first; w <= last; w++ {
		if at.Wall < r.settings.End(w)+r.collectTime(w, at) {
			break
		}
		out = append(out, Report{Window: w, Counts: r.ledger.Total(w)})
	}
	return out
}

// collectTime returns the time after the end of the window for which its report waits for the counts of other instances.
func (r *Reporter) collectTime(w Window, at Time) time.Duration {
	latest := r.settings.Late - urgentTime
	ended := at.Boot - (at.Wall - r.settings.End(w))
	switch {
	case r.alone:
		return settleTime
	case !r.ledger.Collected(at.Boot):
		return latest
	case !r.ledger.HeardSince(ended + messageTime):
		return min(settleTime+straggleTime, latest)
	default:
		return settleTime
	}
}

// firstWindow returns the first window that is not stored. Without any stored one, reports begin with the first counted call
// or the start of this process.
func (r *Reporter) firstWindow() Window {
	if stored := max(r.entry.Stored(), r.standing.Stored); stored > 0 {
		return stored + 1
	}
	first := r.settings.WindowAt(r.started.Wall)
	if w, ok := r.ledger.First(); ok {
		first = min(first, w)
	}
	return first
}

// nextReport sends the oldest stored report that is not known to be accepted, while the lease lasts.
func (r *Reporter) nextReport(at Time) []Action {
	r.expire(at)
	until := r.leaseEnd - sendMargin
	if r.state != StateHolder || r.sending || r.leaving || !r.api.due(at.Boot) || at.Boot+minSendTime > until {
		return nil
	}
	for _, report := range r.entry.Reports {
		if report.Window <= max(r.sent, r.entry.Sent) {
			continue
		}
		r.sending, r.lastSend = true, at.Boot
		return []Action{SendReport{Report: report, Holder: r.self, Token: r.entry.Token, Until: until}}
	}
	return nil
}

func (r *Reporter) handleAnswer(e ReportAnswered) {
	r.sending, r.lastSend = false, e.At.Boot
	switch e.Outcome {
	case OutcomeAccepted:
		r.sent, r.refusals = max(r.sent, e.Window), 0
		r.api.reset()
	case OutcomeRefused:
		r.refusals++
		r.api.fail(e.At.Boot, maxBackoff)
		if r.refusals >= maxRefusals {
			r.sent, r.refusals = max(r.sent, e.Window), 0
		}
	case OutcomeFailed:
		r.failedAt = e.At.Boot
		r.api.fail(e.At.Boot, maxBackoff)
	case OutcomeExpired:
	}
}
