package crowd

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tally counts the outcomes of requests.
type tally struct {
	t          *testing.T
	deployment deployment

	mu sync.Mutex
	// late counts those whose connection ended later than lossSlack.
	outcomes, late [numOutcomes]int
	statuses       map[int]int
	// refusals holds the requests that must not have been executed.
	refusals []*request
	failures []string
}

func newTally(t *testing.T, d deployment) *tally {
	return &tally{t: t, deployment: d, statuses: make(map[int]int)}
}

func (t *tally) count(f outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[f]++
}

func (t *tally) status(code int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[code]++
}

// refuse records a refusal, which says that the request was not executed and never will be.
func (t *tally) refuse(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals = append(t.refusals, r)
}

func (t *tally) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

// lost records a request without a response.
func (t *tally) lost(l *link, r *request, f outcome) {
	after := time.Since(r.sent)
	sinceAnswer := time.Duration(-1)
	if !l.lastAnswer.IsZero() {
		sinceAnswer = r.sent.Sub(l.lastAnswer)
	}
	if f == outcomeReadAndCut || f == outcomePassedOnAndCut {
		work := "not answered by a backend server"
		if at := t.deployment.answeredAt(r.id); !at.IsZero() {
			work = fmt.Sprintf("answered by a backend server %v before", time.Since(at))
		}
		t.fail("%v: request %q, connection ended %v after it, %v after the last response, %s: %v", f, r.id, after, sinceAnswer, work, l.cause)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[f]++
	if after > lossSlack {
		t.late[f]++
	}
}

// requireNoneLost logs the counts and requires that each request was answered that the instance has read.
func (t *tally) requireNoneLost() {
	t.t.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.refusals {
		if t.deployment.hasSeen(r.id) {
			t.failures = append(t.failures, fmt.Sprintf("request %q was refused and has reached a backend server", r.id))
		}
	}
	for f := range numOutcomes {
		if t.outcomes[f] > 0 {
			t.t.Logf("%v: %d, later than %v: %d", f, t.outcomes[f], lossSlack, t.late[f])
		}
	}
	t.t.Logf("statuses: %v", t.statuses)
	const shown = 10
	for _, f := range t.failures[:min(shown, len(t.failures))] {
		t.t.Log(f)
	}
	require.Zero(t.t, len(t.failures), "requests that were read and got no response, or other failures")
}
