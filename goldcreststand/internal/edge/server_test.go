package edge

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/spread"
	"goldcreststand.example/lib/boot"
)

// Guards against a connection that is closed as idle although a request has arrived on it. A process that is short of
// processor time may not have read it yet.
func TestShutdownWaitsForTimers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewServer(New(staticSnapshots{new(spread.Snapshot)}, nil, nil, clock, nil, NewMetrics()), clock)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	advanceTimer := func(late time.Duration) {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(boot.TimerCheckInterval + late)
	}
	advanceTimer(0)
	advanceTimer(0)
	advanceTimer(200 * time.Millisecond)
	for range boot.RequiredTimerChecks {
		require.Empty(t, done, "shut down although a timer was late")
		advanceTimer(0)
	}
	require.NoError(t, <-done)
}

// Guards against a shutdown that spends all its time on waiting for timers, which are always late in a process with a cap on its
// processor time, and then cuts off the calls that are being read.
func TestShutdownDoesNotWaitForTimersThatStayLate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewServer(New(staticSnapshots{new(spread.Snapshot)}, nil, nil, clock, nil, NewMetrics()), clock)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for range int(boot.MaxTimerWait / (100 * time.Millisecond)) {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(100 * time.Millisecond)
	}
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		require.FailNow(t, "the shutdown waits for timers that are late")
	}
}

// Guards against a shutdown that never ends because timers stay late.
func TestShutdownEndsWithItsContext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewServer(New(staticSnapshots{new(spread.Snapshot)}, nil, nil, clock, nil, NewMetrics()), clock)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	cancel()
	require.NoError(t, <-done)
}
