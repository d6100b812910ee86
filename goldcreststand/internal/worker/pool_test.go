package worker_test

import (
	"context"
	"testing"
	"time"

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

// Guards against a task that ends the process or keeps its place in the pool.
func TestPanicEndsOnlyItsTask(t *testing.T) {
	p := worker.New(1)
	ctx, cancel := context.WithCancel(t.Context())
	go p.Run(ctx)
	ran := make(chan struct{})
	submit := func(task func(context.Context)) {
		require.Eventually(t, func() bool { return p.TrySubmit(task) }, time.Second, time.Millisecond)
	}
	submit(func(context.Context) { panic("task") })
	submit(func(context.Context) { close(ran) })
	<-ran
	cancel()
	<-p.Done()
}
