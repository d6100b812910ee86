package http1

import "sync/atomic"

// maxIdleWorkers is the number of goroutines without a call that are kept.
const maxIdleWorkers = 16

// workers runs calls. It keeps a few goroutines after their calls, because the stack of a new one has to grow with each
// call, which takes a tenth of the processor time of a short one (BenchmarkServer).
type workers struct {
	calls chan *call
	idle  atomic.Int32
	quit  chan struct{}
}

func newWorkers() *workers { return &workers{calls: make(chan *call), quit: make(chan struct{})} }

// start runs the call in a goroutine.
func (w *workers) start(x *call) {
	select {
	case w.calls <- x:
	default:
		go w.run(x)
	}
}

// run runs the call, and then further ones unless enough other goroutines wait for them.
func (w *workers) run(x *call) {
	for {
		x.run()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case x = <-w.calls:
			w.idle.Add(-1)
		case <-w.quit:
			return
		}
	}
}

// stop ends the idle goroutines.
func (w *workers) stop() { close(w.quit) }
