// Package ctrl runs the control goroutine. It owns all control state, handles typed events, publishes
// snapshots for traffic and passes actions to adapters. It does no network I/O itself.
package ctrl

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/member"
	"goldcreststand.example/core/route"
	"goldcreststand.example/lib/guard"
)

// Times and sizes of the control loop.
const (
	// eventQueueLength bounds the events that wait for the control goroutine.
	eventQueueLength = 1024
	// tickInterval is the time between two ticks. Decisions that depend on time are at most this late.
	tickInterval = 100 * time.Millisecond
	// snapshotValidity is how long traffic may act on a snapshot when no newer one is published.
	snapshotValidity = limit.MaxObserveGap
)

// Event is an input of the control goroutine. Applying it changes the state and returns the actions to carry
// out.
type Event interface {
	apply(st *state) []Action
}

// Action is work that an adapter does for the control goroutine.
type Action any

// Executor carries out actions. Do must not block: it queues the work and posts the result as an Event.
type Executor interface {
	Do(a Action)
}

// ElapsedClock returns the time since the machine was booted, including the time for which it was suspended.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// Loop is the handle through which other goroutines use the control goroutine.
type Loop struct {
	clock   clockwork.Clock
	elapsed ElapsedClock
	exec    Executor
	events  chan Event
	done    chan struct{}
	// published holds a value when a snapshot was published since it was last read.
	published chan struct{}
	snapshot  atomic.Pointer[route.Snapshot]
	members   atomic.Pointer[[]member.Record]
	state     *state
}

// New returns a loop that has not started. All actions go to the executor.
func New(self Self, clock clockwork.Clock, elapsed ElapsedClock, exec Executor) *Loop {
	l := &Loop{
		clock:     clock,
		elapsed:   elapsed,
		exec:      exec,
		events:    make(chan Event, eventQueueLength),
		done:      make(chan struct{}),
		published: make(chan struct{}, 1),
		state:     newState(self),
	}
	l.publish()
	return l
}

// Done is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Published returns a channel that gets a value when snapshots were published since it was last read. It has
// one reader.
func (l *Loop) Published() <-chan struct{} { return l.published }

// Load returns the newest snapshot; it is never nil.
func (l *Loop) Load() *route.Snapshot { return l.snapshot.Load() }

// Members returns the known instances, this one included, in the order of their identifiers.
func (l *Loop) Members() []member.Record { return *l.members.Load() }

// Post queues an event for the control goroutine and blocks while the queue is full.
func (l *Loop) Post(ctx context.Context, ev Event) error {
	select {
	case l.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return context.Canceled
	}
}

// TryPost queues an event for the control goroutine and reports whether the queue had room. Traffic uses it
// because it never waits for the control goroutine.
func (l *Loop) TryPost(ev Event) bool {
	select {
	case l.events <- ev:
		return true
	default:
		return false
	}
}

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := l.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-l.events:
			l.handle(ev)
		case <-ticker.Chan():
			l.handle(tick{})
		case <-ctx.Done():
			return
		}
	}
}

// handle applies the event and all queued events, then publishes once if any of them is urgent.
func (l *Loop) handle(ev Event) {
	l.state.now = l.clock.Now()
	if l.elapsed.Elapsed() > l.snapshot.Load().ValidUntil {
		l.state.resume()
	}
	actions, urgent := l.apply(ev), isUrgent(ev)
	for range len(l.events) {
		ev := <-l.events
		actions = append(actions, l.apply(ev)...)
		urgent = urgent || isUrgent(ev)
	}
	if urgent {
		l.publish()
	}
	for _, a := range actions {
		l.exec.Do(a)
	}
}

// apply applies the event. One that cannot be applied must not end the process: it would do so again after each restart.
func (l *Loop) apply(ev Event) (actions []Action) {
	if err := guard.Call(func() { actions = ev.apply(l.state) }); err != nil {
		logrus.WithError(err).Errorf("control: event %T failed", ev)
	}
	return actions
}

// isUrgent reports whether a snapshot is published immediately after the event. Measurements wait for the
// next tick: traffic reports them up to fifty times per second, and every publication costs control time.
func isUrgent(ev Event) bool {
	switch ev.(type) {
	case OutcomesReported, ProbeCompleted:
		return false
	default:
		return true
	}
}

func (l *Loop) publish() {
	l.state.elapsed = l.elapsed.Elapsed()
	s := l.state.snapshot()
	s.ValidUntil = l.state.elapsed + snapshotValidity
	l.snapshot.Store(s)
	// The slice is replaced when a record changes; readers keep the one that they loaded.
	records := l.state.members.records
	l.members.Store(&records)
	select {
	case l.published <- struct{}{}:
	default:
	}
}
