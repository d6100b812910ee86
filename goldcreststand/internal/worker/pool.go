// Package worker runs queued tasks in a bounded number of goroutines. The adapters of the control
// goroutine use it, because control must not wait for the network.
package worker

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/lib/guard"
)

// Pool runs tasks. A panic ends only its task. Its queue holds as many tasks as it runs concurrently.
type Pool struct {
	queue chan func(context.Context)
	done  chan struct{}
}

// New returns a pool that runs up to limit tasks concurrently. Run starts it.
func New(limit int) *Pool {
	return &Pool{queue: make(chan func(context.Context), limit), done: make(chan struct{})}
}

// TrySubmit queues a task without blocking. It returns false if the queue is full.
func (p *Pool) TrySubmit(task func(context.Context)) bool {
	select {
	case p.queue <- task:
		return true
	default:
		return false
	}
}

// Done is closed when Run and all tasks have returned.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Run runs the queued tasks with ctx until ctx ends, and then waits for the running ones.
func (p *Pool) Run(ctx context.Context) {
	defer close(p.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, cap(p.queue))
	for {
		select {
		case task := <-p.queue:
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-slots }()
				if err := guard.Call(func() { task(ctx) }); err != nil {
					logrus.WithError(err).Error("worker: task failed")
				}
			})
		case <-ctx.Done():
			return
		}
	}
}
