// Package intake applies the budget for callers to their connections: it accepts connections while there is room, counts what
// each makes the instance hold, and closes those that the budget names.
package intake

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"goldcreststand.example/core/budget"
)

const (
	// reliefInterval is the time between two searches for connections to close.
	reliefInterval = 100 * time.Millisecond
	// maxLag is the time between two searches beyond which one only sets the time: progress since the last one has its time, and
	// would look too old.
	maxLag = 3 * reliefInterval
	// reportInterval is the time between two reports of measures in the log.
	reportInterval = time.Second
)

// Error is the class of the errors of this package.
var Error = errs.Class("intake")

// errNoRoom reports that a connection was closed because the budget has no room for what it sent.
var errNoRoom = Error.New("no memory for the request")

// Log logs measures against callers. It must not block.
type Log interface {
	StateChange(msg string, fields logrus.Fields)
}

// Gate admits connections and closes them under pressure. It is safe for concurrent use.
type Gate struct {
	clock   clockwork.Clock
	log     Log
	metrics *Metrics
	done    chan struct{}
	// collect asks for a run of the garbage collector.
	collect chan struct{}

	mu sync.Mutex
	// now is the time of the last search, which is exact enough for progress, and cheaper than the clock with each read.
	now    time.Time
	budget *budget.Budget
	conns  map[budget.ConnID]*Conn
	// collecting is set while the garbage collector is asked to run.
	collecting bool
	// waiting is the number of listeners that wait for room; room is closed when there may be some.
	waiting int
	room    chan struct{}
	// measures are those since the last report.
	measures map[measure]*tally
}

// New returns a gate. Run must run while listeners use it.
func New(l budget.Limits, clock clockwork.Clock, log Log, m *Metrics) *Gate {
	g := &Gate{
		clock: clock, log: log, metrics: m, done: make(chan struct{}), collect: make(chan struct{}, 1), now: clock.Now(), budget: budget.New(l),
		conns: make(map[budget.ConnID]*Conn), room: make(chan struct{}), measures: make(map[measure]*tally),
	}
	m.read = g.usage
	return g
}

// Done is closed when Run has returned.
func (g *Gate) Done() <-chan struct{} { return g.done }

// Run closes connections under pressure until the context ends.
func (g *Gate) Run(ctx context.Context) {
	defer close(g.done)
	collector := make(chan struct{})
	go g.runCollector(ctx, collector)
	defer func() { <-collector }()
	relief, report := g.clock.NewTicker(reliefInterval), g.clock.NewTicker(reportInterval)
	defer relief.Stop()
	defer report.Stop()
	for {
		select {
		case <-relief.Chan():
			g.relieve()
		case <-report.Chan():
			g.report()
		case <-ctx.Done():
			g.report()
			return
		}
	}
}

// relieve closes the connections that the budget names.
func (g *Gate) relieve() {
	g.mu.Lock()
	g.watchGarbage()
	last := g.now
	g.now = g.clock.Now()
	if g.now.Sub(last) > maxLag {
		g.mu.Unlock()
		return
	}
	victims := g.budget.Victims(g.now)
	g.mu.Unlock()
	for _, v := range victims {
		if c := g.withdraw(v); c != nil {
			if v.Phase == budget.PhaseSending {
				// The end of the connection may otherwise look like the end of the answer.
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// withdraw returns the connection for the caller to close. It returns nil if the connection has ended or made progress since it
// was chosen, and if its reader waits for the next request: only the reader knows whether it has just received one, and it is
// interrupted.
func (g *Gate) withdraw(v budget.Victim) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Stalled(g.now, v.ID) {
		return nil
	}
	c := g.conns[v.ID]
	byReader := v.Phase == budget.PhaseIdle && c.reading
	if byReader && c.interrupted {
		return nil
	}
	g.note(measure{action: actionClose, class: v.Class, cause: v.Cause.String()}, c, v)
	if byReader {
		c.interruptReader()
		return nil
	}
	return c
}

// waitForRoom returns when the class may have another connection, and reports whether it may; it may not once the channel is
// closed.
func (g *Gate) waitForRoom(class budget.Class, closed <-chan struct{}) bool {
	for {
		g.mu.Lock()
		cause, ok := g.budget.MayAccept(class)
		room := g.room
		if !ok {
			g.note(measure{action: actionWait, class: class, cause: cause.String()}, nil, budget.Victim{})
			g.waiting++
		}
		g.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-room:
		case <-closed:
		}
		g.mu.Lock()
		g.waiting--
		g.mu.Unlock()
		select {
		case <-closed:
			return false
		default:
		}
	}
}

// signalRoom wakes the listeners that wait. The caller holds the lock.
func (g *Gate) signalRoom() {
	if g.waiting > 0 {
		close(g.room)
		g.room = make(chan struct{})
	}
}

// open counts an accepted connection.
func (g *Gate) open(nc net.Conn, class budget.Class) *Conn {
	c := &Conn{Conn: nc, gate: g, class: class, metering: class != budget.ClassCalls}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.id = g.budget.Open(g.now, class)
	g.conns[c.id] = c
	return c
}

// closed gives back what a connection held.
func (g *Gate) closed(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.conns[c.id]; !ok {
		return
	}
	g.budget.Close(c.id)
	delete(g.conns, c.id)
	g.signalRoom()
}
