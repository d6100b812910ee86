package worker_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcreststand.example/goldcreststand/internal/worker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a control goroutine that waits for the network, and against tasks that outlive Run.
func TestFullQueueDoesNotBlock(t *testing.T) {
	p := worker.New(2)
	ctx, cancel := context.WithCancel(t.Context())
	running := make(chan struct{}, 8)
	ended := make(chan struct{}, 8)
	task := func(ctx context.Context) {
		running <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
	}
	require.True(t, p.TrySubmit(task))
	require.True(t, p.TrySubmit(task))
	require.False(t, p.TrySubmit(task))
	go p.Run(ctx)
	<-running
	<-running
	require.True(t, p.TrySubmit(task))
	cancel()
	<-p.Done()
	require.GreaterOrEqual(t, len(ended), 2)
}
