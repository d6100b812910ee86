// Package worker runs queued calls in a bounded number of goroutines. The adapters of the control
// goroutine use it, because control must not wait for the network.
package worker

import (
	"context"
	"sync"
)

// Pool runs calls. Its queue has room for as many calls as it runs at a time.
type Pool struct {
	queue chan func(context.Context)
	done  chan struct{}
}

// New returns a pool that runs up to limit calls at a time. It has not started.
func New(limit int) *Pool {
	return &Pool{queue: make(chan func(context.Context), limit), done: make(chan struct{})}
}

// Do queues a call and does not block. It reports whether the queue had room.
func (p *Pool) Do(call func(context.Context)) bool {
	select {
	case p.queue <- call:
		return true
	default:
		return false
	}
}

// Done is closed when Run and all calls have returned.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Run runs calls with a context that ends with ctx, and returns when ctx has ended and all calls have
// returned.
func (p *Pool) Run(ctx context.Context) {
	defer close(p.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	free := make(chan struct{}, cap(p.queue))
	for {
		select {
		case call := <-p.queue:
			select {
			case free <- struct{}{}:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-free }()
				call(ctx)
			})
		case <-ctx.Done():
			return
		}
	}
}
