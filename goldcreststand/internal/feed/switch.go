package feed

import (
	"context"
	"sync"
)

// Switch turns a watcher's calls to the store on and off. It is safe for concurrent use.
type Switch struct {
	mu sync.Mutex
	// stop cancels the calls of the time for which the switch is on. It is nil while the switch is off.
	stop context.CancelFunc
	ctx  context.Context
	// turnedOn is closed when the switch is turned on.
	turnedOn chan struct{}
}

// NewSwitch returns a switch that is off.
func NewSwitch() *Switch { return &Switch{turnedOn: make(chan struct{})} }

// Set turns the switch on or off.
func (s *Switch) Set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.stop == nil:
		s.ctx, s.stop = context.WithCancel(context.Background())
		close(s.turnedOn)
	case !on && s.stop != nil:
		s.stop()
		s.ctx, s.stop, s.turnedOn = nil, nil, make(chan struct{})
	}
}

// Wait waits until the switch is on, and returns a context that ends when it is turned off or ctx ends.
func (s *Switch) Wait(ctx context.Context) (context.Context, context.CancelFunc) {
	for ctx.Err() == nil {
		onCtx, turnedOn := s.state()
		if turnedOn == nil {
			inner, cancel := context.WithCancel(ctx)
			release := context.AfterFunc(onCtx, cancel)
			return inner, func() { release(); cancel() }
		}
		select {
		case <-turnedOn:
		case <-ctx.Done():
		}
	}
	return ctx, func() {}
}

// state returns the context of the current on period, or the channel that is closed when the switch is turned on.
func (s *Switch) state() (context.Context, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop == nil {
		return nil, s.turnedOn
	}
	return s.ctx, nil
}
