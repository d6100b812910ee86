package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against denied retries that no log line shows, and against a line for each of them.
func TestDeniedRetriesAreLogged(t *testing.T) {
	h, out := newHarness(), new(messageLog)
	h.log = out
	budget := h.snapshot().Services[testService].RetryBudget
	for range 100 {
		budget.Withdraw(h.now)
	}
	h.wait(10 * deniedInterval)
	require.Equal(t, []string{"hub: retry budget exhausted"}, out.messages)
	require.False(t, budget.Withdraw(h.now))
	h.wait(time.Second)
	require.Len(t, out.messages, 2)
}
