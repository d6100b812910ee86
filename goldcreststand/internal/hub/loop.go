// Package hub runs the control goroutine of an instance that uses every backend server of a deployment. It
// owns what the instance believes, takes typed events, publishes views for traffic and hands actions to
// adapters. It does no network work itself.
package hub

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/route"
	"goldcreststand.example/core/spread"
)

const (
	// queueLength bounds the events that wait for control.
	queueLength = 1024
	// tickInterval is the time between two ticks. Decisions on time are at most this late.
	tickInterval = 100 * time.Millisecond
	// maxOutcomes bounds the outcomes that wait for control.
	maxOutcomes = 4096
	// pauseTime is the time between two ticks that shows that the process was paused.
	pauseTime = time.Second
)

// Event is something that control learns. It changes the state and returns what is to be done.
type Event interface {
	apply(st *state) []Action
}

// Executor carries out actions. Do must not block: it queues the work and posts the result as an Event.
type Executor interface {
	Do(a Action)
}

// ElapsedClock reads the time since the machine's start, pauses included.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// Log takes the lines about what control believes.
type Log interface {
	// StateChange logs a change of the tracked state.
	StateChange(msg string, fields logrus.Fields)
}

// Loop is the control goroutine's handle for everyone else.
type Loop struct {
	clock     clockwork.Clock
	elapsed   ElapsedClock
	exec      Executor
	events    chan Event
	outcomes  chan route.TryOutcome
	dropped   atomic.Int64
	done      chan struct{}
	view      atomic.Pointer[spread.Snapshot]
	freshness atomic.Pointer[freshnessAt]
	state     *state
	ticked    time.Duration
}

// freshnessAt is the freshness of the instance at a time.
type freshnessAt struct {
	Freshness
	at time.Time
}

// New returns a loop that has not started. The executor gets all actions.
func New(self Self, clock clockwork.Clock, elapsed ElapsedClock, exec Executor, log Log) *Loop {
	l := &Loop{
		clock: clock, elapsed: elapsed, exec: exec,
		events: make(chan Event, queueLength), outcomes: make(chan route.TryOutcome, maxOutcomes),
		done: make(chan struct{}), state: newState(self, clock.Now(), log),
	}
	l.view.Store(l.state.view())
	l.freshness.Store(&freshnessAt{l.state.freshness(), l.state.now})
	return l
}

// Done is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Load returns the newest view; it is never nil.
func (l *Loop) Load() *spread.Snapshot { return l.view.Load() }

// Freshness returns how up to date this instance is with the store now.
func (l *Loop) Freshness() Freshness {
	s := l.freshness.Load()
	since := l.clock.Since(s.at)
	return Freshness{Age: s.Age + since, Grace: max(0, s.Grace-since)}
}

// Dropped returns the number of outcomes that control had no room for.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

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

// Observe notes the outcome of a try. Traffic never waits for control: without room the outcome is dropped
// and counted.
func (l *Loop) Observe(o route.TryOutcome) {
	select {
	case l.outcomes <- o:
	default:
		l.dropped.Add(1)
	}
}

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := l.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	l.ticked = l.elapsed.Elapsed()
	// Callers may wait for an instance that starts again.
	l.handle(tick{})
	for {
		select {
		case ev := <-l.events:
			l.handle(ev)
		case <-ticker.Chan():
			l.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick notices pauses and hands the outcomes of traffic over.
func (l *Loop) tick() {
	at := l.elapsed.Elapsed()
	paused := at-l.ticked > pauseTime
	l.ticked = at
	for range len(l.outcomes) {
		l.state.observe(<-l.outcomes)
	}
	l.handle(tick{paused: paused})
}

// handle applies the event and all that wait behind it, then publishes once.
func (l *Loop) handle(ev Event) {
	l.state.now = l.clock.Now()
	actions := ev.apply(l.state)
	for range len(l.events) {
		actions = append(actions, (<-l.events).apply(l.state)...)
	}
	if l.state.changed {
		l.state.changed = false
		l.view.Store(l.state.view())
	}
	l.freshness.Store(&freshnessAt{l.state.freshness(), l.state.now})
	for _, a := range actions {
		l.exec.Do(a)
	}
}
