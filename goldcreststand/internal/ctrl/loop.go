// Package ctrl runs the control goroutine. It owns all control state, takes typed events, publishes
// snapshots for traffic and hands actions to adapters. It does no network work itself.
package ctrl

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/member"
	"goldcreststand.example/core/route"
)

// Times and sizes of the control loop.
const (
	// queueLength bounds the events that wait for control.
	queueLength = 1024
	// tickInterval is the time between two ticks. Decisions on time are at most this late.
	tickInterval = 100 * time.Millisecond
	// validity is the time for which traffic may act on a snapshot without news from control.
	validity = limit.MaxObserveGap
)

// Event is something that control learns. It changes the state and returns what is to be done.
type Event interface {
	apply(st *state) []Action
}

// Action is something that an adapter does for control.
type Action any

// Executor carries out actions. Do must not block: it queues the work and posts the result as an Event.
type Executor interface {
	Do(a Action)
}

// ElapsedClock reads the time since the machine's start, pauses included.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// Loop is the control goroutine's handle for everyone else.
type Loop struct {
	clock   clockwork.Clock
	elapsed ElapsedClock
	exec    Executor
	events  chan Event
	done    chan struct{}
	// published holds a token after a snapshot was published.
	published chan struct{}
	snapshot  atomic.Pointer[route.Snapshot]
	members   atomic.Pointer[[]member.Record]
	state     *state
}

// New returns a loop that has not started. The executor gets all actions.
func New(self Self, clock clockwork.Clock, elapsed ElapsedClock, exec Executor) *Loop {
	l := &Loop{
		clock:     clock,
		elapsed:   elapsed,
		exec:      exec,
		events:    make(chan Event, queueLength),
		done:      make(chan struct{}),
		published: make(chan struct{}, 1),
		state:     newState(self),
	}
	l.publish()
	return l
}

// Done is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Published gets a value when snapshots were published since it was last read. It has one reader.
func (l *Loop) Published() <-chan struct{} { return l.published }

// Load returns the newest snapshot; it is never nil.
func (l *Loop) Load() *route.Snapshot { return l.snapshot.Load() }

// Members returns the known instances, this one included, in the order of their identifiers.
func (l *Loop) Members() []member.Record { return *l.members.Load() }

// Post hands an event to control and waits for room in its queue.
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

// TryPost hands an event to control and reports whether there was room in its queue. Traffic uses it,
// because traffic never waits for control.
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

// handle applies the event and all that wait behind it, then publishes once.
func (l *Loop) handle(ev Event) {
	l.state.now = l.clock.Now()
	if l.elapsed.Elapsed() > l.snapshot.Load().ValidUntil {
		l.state.resume()
	}
	actions, urgent := ev.apply(l.state), isUrgent(ev)
	for range len(l.events) {
		ev := <-l.events
		actions = append(actions, ev.apply(l.state)...)
		urgent = urgent || isUrgent(ev)
	}
	if urgent {
		l.publish()
	}
	for _, a := range actions {
		l.exec.Do(a)
	}
}

// isUrgent reports whether a snapshot is published at once after the event. Measurements wait for the next
// tick: traffic reports them up to fifty times per second, and every publication costs control time.
func isUrgent(ev Event) bool {
	switch ev.(type) {
	case OutcomesSeen, Probed:
		return false
	default:
		return true
	}
}

func (l *Loop) publish() {
	l.state.boot = l.elapsed.Elapsed()
	s := l.state.snapshot()
	s.ValidUntil = l.state.boot + validity
	l.snapshot.Store(s)
	// The field is replaced when a record changes; readers need the value of now.
	records := l.state.members.records
	l.members.Store(&records)
	select {
	case l.published <- struct{}{}:
	default:
	}
}
