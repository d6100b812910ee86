package edge

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/spread"
)

// Guards against a connection that is closed as idle although a request has arrived on it, which a process that is short
// of processor time has not read yet.
func TestShutdownReadsFirstWhatHasArrived(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewServer(New(staticViews{new(spread.Snapshot)}, nil, nil, clock, nil, NewMetrics()), clock)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	look := func(late time.Duration) {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(settleStep + late)
	}
	look(0)
	look(0)
	look(200 * time.Millisecond)
	for range settleLooks {
		require.Empty(t, done, "did not wait for a process that is behind")
		look(0)
	}
	require.NoError(t, <-done)
}

// Guards against a process that never keeps up and does not end.
func TestShutdownEndsWithItsContext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewServer(New(staticViews{new(spread.Snapshot)}, nil, nil, clock, nil, NewMetrics()), clock)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	cancel()
	require.NoError(t, <-done)
}
