// Package hub runs the control goroutine of an instance that uses every backend server of a deployment. The
// goroutine owns the control state, applies typed events to it, publishes snapshots for request handling and
// passes actions to adapters. The package does no network I/O.
package hub

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/relay"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/lib/guard"
)

const (
	// queueLength limits the events that wait for the control goroutine.
	queueLength = 1024
	// tickInterval is the time between two ticks. Time-based decisions are delayed by at most this much.
	tickInterval = 100 * time.Millisecond
	// maxOutcomes limits the outcomes that wait for the control goroutine.
	maxOutcomes = 4096
	// minPause is the time between two ticks beyond which the process is considered to have been paused.
	minPause = time.Second
	// minDelay is the delay of a tick from which it is logged. Requests wait as long to be read, and are answered late.
	minDelay = 200 * time.Millisecond
)

// Event is an input of the control goroutine. It changes the state and returns the actions to carry out.
type Event interface {
	apply(st *state) []Action
}

// Executor carries out actions. Do must not block: it queues the work, and the result is posted as an Event.
type Executor interface {
	Do(a Action)
}

// ElapsedClock returns the time since the machine booted, including the time for which it was paused.
type ElapsedClock interface {
	Elapsed() time.Duration
}

// Log receives state changes of the control goroutine.
type Log interface {
	// StateChange logs a change of the control state.
	StateChange(msg string, fields logrus.Fields)
}

// Loop runs the control goroutine. Its methods are safe for use from other goroutines.
type Loop struct {
	clock     clockwork.Clock
	elapsed   ElapsedClock
	exec      Executor
	events    chan Event
	outcomes  chan route.TryOutcome
	dropped   atomic.Int64
	done      chan struct{}
	snapshot  atomic.Pointer[spread.Snapshot]
	freshness atomic.Pointer[freshnessAt]
	usage     atomic.Pointer[UsageStatus]
	state     *state
	lastTick  time.Duration
}

// freshnessAt is the freshness of the instance at a point in time.
type freshnessAt struct {
	Freshness
	at time.Time
}

// New returns a loop that has not started. All actions go to exec.
func New(self Self, clock clockwork.Clock, elapsed ElapsedClock, exec Executor, log Log, opts ...Option) *Loop {
	l := &Loop{
		clock: clock, elapsed: elapsed, exec: exec,
		events: make(chan Event, queueLength), outcomes: make(chan route.TryOutcome, maxOutcomes),
		done: make(chan struct{}), state: newState(self, clock.Now(), log),
	}
	for _, o := range opts {
		o(l)
	}
	l.snapshot.Store(l.state.snapshot())
	l.freshness.Store(&freshnessAt{l.state.freshness(), l.state.now})
	return l
}

// Done is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Load returns the latest snapshot. It is never nil.
func (l *Loop) Load() *spread.Snapshot { return l.snapshot.Load() }

// Freshness returns how up to date this instance's copy of the store is now.
func (l *Loop) Freshness() Freshness {
	s := l.freshness.Load()
	since := l.clock.Since(s.at)
	return Freshness{Copy: relay.Copy{Age: s.Age + since, Watched: s.Watched + since}, Silent: s.Silent + since, Era: s.Era, Grace: max(0, s.Grace-since)}
}

// Usage returns what this instance knows of the duty of reporting usage, or the zero value if it takes no part.
func (l *Loop) Usage() UsageStatus {
	if s := l.usage.Load(); s != nil {
		return *s
	}
	return UsageStatus{}
}

// Dropped returns the number of outcomes that were dropped because the queue was full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

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

// Observe queues the outcome of a try. It never blocks: when the queue is full, the outcome is dropped and
// counted.
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
	l.lastTick = l.elapsed.Elapsed()
	// Callers may be waiting for a restarted instance, so the first tick runs at once.
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

// tick detects pauses of the process and records the queued outcomes.
func (l *Loop) tick() {
	at := l.elapsed.Elapsed()
	took := at - l.lastTick
	paused := took > minPause
	if delay := took - tickInterval; !paused && delay >= minDelay {
		l.state.logChange("tick was late", logrus.Fields{"delay": delay.Milliseconds()})
	}
	l.lastTick = at
	for range len(l.outcomes) {
		l.state.recordOutcome(<-l.outcomes)
	}
	l.handle(tick{paused: paused})
}

// apply applies the event. One that cannot be applied must not end the process: it would do so again after each restart.
func (l *Loop) apply(ev Event) (actions []Action) {
	if err := guard.Call(func() { actions = ev.apply(l.state) }); err != nil {
		l.state.logChange("event failed", logrus.Fields{"event": fmt.Sprintf("%T", ev), "error": err.Error()})
	}
	return actions
}

// publish publishes a new snapshot. If it cannot be built, the last one remains in use.
func (l *Loop) publish() {
	if err := guard.Call(func() { l.snapshot.Store(l.state.snapshot()) }); err != nil {
		l.state.logChange("snapshot failed", logrus.Fields{"error": err.Error()})
	}
}

// publishUsage publishes what is known of the duty if it has changed.
func (l *Loop) publishUsage() {
	if u := l.state.usage; u != nil && l.Usage() != u.status {
		s := u.status
		l.usage.Store(&s)
	}
}

// handle applies the event and all queued ones, then publishes one snapshot.
func (l *Loop) handle(ev Event) {
	l.state.now, l.state.boot = l.clock.Now(), l.elapsed.Elapsed()
	actions := l.apply(ev)
	for range len(l.events) {
		actions = append(actions, l.apply(<-l.events)...)
	}
	if l.state.changed {
		l.state.changed = false
		l.publish()
	}
	l.freshness.Store(&freshnessAt{l.state.freshness(), l.state.now})
	l.publishUsage()
	for _, a := range actions {
		l.exec.Do(a)
	}
}
