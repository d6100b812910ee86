package usage

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
)

// testSettings are the settings of the users' deployment.
func testSettings() Settings {
	return Settings{Window: 5 * time.Second, Late: 10 * time.Second, ReclaimDelay: 3 * time.Second}
}

const (
	tickTime = 100 * time.Millisecond
	// storeTimeout is the time after which a call to the store counts as unanswered.
	storeTimeout = 2 * time.Second
	wallStart    = 1_700_000_000 * time.Second
	bootStart    = time.Hour
)

// mode is the state of the store or the API.
type mode int

const (
	modeGood mode = iota
	modeDown
	// modeLost executes calls and loses the replies, modeLate executes writes after the caller gave them up.
	modeLost
	modeLate
	// modeSlow delays calls within their timeout.
	modeSlow
	modes
)

// arrival is a report that reached the API.
type arrival struct {
	at     time.Duration
	holder ident.InstanceID
	token  Token
	report Report
}

// node is one instance.
type node struct {
	id             ident.InstanceID
	reporter       *Reporter
	ledger         *Ledger
	generation     int
	dead           bool
	suspendedUntil time.Duration
	// learnsEraAt is the time at which the node learns of the store's last return.
	learnsEraAt time.Duration
	cut         bool
	jump        time.Duration
	calls       uint64
}

// world holds instances, the store and the API in virtual time.
type world struct {
	now      time.Duration
	nodes    []*node
	queue    []task
	draw     func(n int) int
	entry    Entry
	revision ident.Revision
	era      ident.Era
	storeOps int
	store    mode
	api      mode
	arrivals []arrival
	fault    error
	// noRevisions leaves the revision out of the store's replies to writes.
	noRevisions bool
	// unchecked leaves out the check of the lease directly before a report is sent.
	unchecked bool
}

type task struct {
	at time.Duration
	do func()
}

func newWorld(size int, draw func(n int) int) *world {
	w := &world{draw: draw}
	for i := range size {
		n := &node{id: ident.InstanceID(fmt.Sprintf("i%d", i))}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

// restart starts a new process of the instance.
func (w *world) restart(n *node) {
	n.generation++
	n.dead, n.suspendedUntil = false, 0
	n.ledger = NewLedger()
	n.reporter = NewReporter(n.id, testSettings(), n.ledger)
}

func (w *world) kill(n *node) {
	n.generation++
	n.dead = true
}

func (w *world) time(n *node) Time {
	return Time{Boot: bootStart + w.now, Wall: wallStart + w.now + n.jump}
}

func (w *world) after(d time.Duration, do func()) {
	w.queue = append(w.queue, task{at: w.now + d, do: do})
}

// onNode does the work at the process of the node after the time, once the process is not suspended.
func (w *world) onNode(n *node, d time.Duration, do func()) {
	generation := n.generation
	var run func()
	run = func() {
		switch {
		case n.generation != generation:
		case w.now < n.suspendedUntil:
			w.after(n.suspendedUntil-w.now, run)
		default:
			do()
		}
	}
	w.after(d, run)
}

func (w *world) handle(n *node, ev Event) {
	for _, a := range n.reporter.Handle(ev) {
		switch a := a.(type) {
		case ReadEntry:
			w.read(n)
		case WriteEntry:
			w.write(n, a)
		case SendReport:
			w.send(n, a)
		}
	}
}

func (w *world) read(n *node) {
	w.storeOps++
	if w.store == modeDown || w.store == modeLost {
		w.onNode(n, storeTimeout, func() { w.handle(n, ReadFailed{At: w.time(n)}) })
		return
	}
	w.after(w.storeDelay(), func() {
		e, pos := w.entry, store.Position{Era: w.era, Revision: w.revision}
		w.onNode(n, 0, func() { w.handle(n, EntryRead{At: w.time(n), Entry: e, Position: pos, Absent: pos.Revision == 0}) })
	})
}

func (w *world) storeDelay() time.Duration {
	if w.store == modeSlow {
		return time.Duration(w.draw(15)) * tickTime
	}
	return 0
}

func (w *world) write(n *node, a WriteEntry) {
	w.storeOps++
	m := w.store
	delay := w.storeDelay()
	if m == modeLate {
		delay = time.Duration(w.draw(150)) * tickTime
	}
	if m != modeDown {
		w.after(delay, func() {
			conflict := w.revision != a.Condition
			if !conflict {
				w.revision++
				w.entry = a.Entry
			}
			pos := store.Position{Era: w.era, Revision: w.revision}
			if w.noRevisions {
				pos.Revision = 0
			}
			if m == modeLost || m == modeLate {
				return
			}
			w.onNode(n, 0, func() {
				if conflict {
					w.handle(n, WriteRejected{At: w.time(n)})
				} else {
					w.handle(n, EntryWritten{At: w.time(n), Position: pos})
					w.share(n)
				}
			})
		})
	}
	if m == modeDown || m == modeLost || m == modeLate {
		w.onNode(n, storeTimeout, func() { w.handle(n, WriteUnanswered{At: w.time(n)}) })
	}
}

// send carries a report to the API. The process may be suspended before the check of the lease.
func (w *world) send(n *node, a SendReport) {
	w.onNode(n, tickTime, func() {
		if !w.unchecked && bootStart+w.now >= a.Until {
			w.handle(n, ReportAnswered{At: w.time(n), Window: a.Report.Window, Outcome: OutcomeExpired})
			return
		}
		m, took := w.api, time.Duration(w.draw(3))*tickTime
		if m == modeSlow {
			took = time.Duration(w.draw(10)) * tickTime
		}
		if m != modeDown {
			w.after(took, func() { w.arrive(arrival{w.now, a.Holder, a.Token, a.Report}) })
		}
		outcome := OutcomeAccepted
		if m == modeDown || m == modeLost {
			outcome = OutcomeFailed
		}
		w.onNode(n, took+tickTime, func() { w.handle(n, ReportAnswered{At: w.time(n), Window: a.Report.Window, Outcome: outcome}) })
	})
}

// arrive checks what must never happen.
func (w *world) arrive(a arrival) {
	for _, b := range w.arrivals {
		switch {
		case b.report.Window == a.report.Window && !maps.Equal(a.report.Counts, b.report.Counts):
			w.fail("window %d has two reports, by %s and %s", a.report.Window, b.holder, a.holder)
		case b.token > a.token:
			w.fail("token %d of %s after %d of %s", a.token, a.holder, b.token, b.holder)
		case b.token == a.token && b.holder != a.holder:
			w.fail("token %d has the holders %s and %s", a.token, a.holder, b.holder)
		case b.holder != a.holder && slices.ContainsFunc(w.arrivals, func(c arrival) bool {
			return c.holder == a.holder && c.at <= b.at && a.at-c.at < testSettings().ReclaimDelay
		}):
			w.fail("holders %s, %s, %s in a row", a.holder, b.holder, a.holder)
		}
	}
	w.arrivals = append(w.arrivals, a)
}

func (w *world) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format+" at %s", append(args, w.now)...)
	}
}

// run lets the time pass.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tickTime {
		w.runQueue()
		for i, n := range w.nodes {
			if n.dead || w.now < n.suspendedUntil {
				continue
			}
			// Each instance knows other counts, so that reports of two instances differ.
			n.calls++
			current := testSettings().WindowAt(w.time(n).Wall)
			n.ledger.Merge(Message{
				Source: Source{Instance: n.id, Incarnation: 1}, Sequence: Sequence(n.calls),
				Windows: []Report{{Window: current, Counts: Counts{"t": n.calls + uint64(i)}}},
			}, current, w.time(n).Boot)
			w.handle(n, Tick{At: w.time(n), Rank: w.rank(n), Era: w.knownEra(n)})
			if w.now%(5*tickTime) == 0 {
				w.share(n)
			}
		}
	}
}

// returnTo sets the store back to an older copy. The nodes learn of it within a second.
func (w *world) returnTo(e Entry, rev ident.Revision) {
	w.era++
	w.entry, w.revision = e, rev
	for _, n := range w.nodes {
		n.learnsEraAt = w.now + time.Duration(w.draw(10))*tickTime
	}
}

// knownEra returns the era of the store that the node knows.
func (w *world) knownEra(n *node) ident.Era {
	if w.now < n.learnsEraAt {
		return w.era - 1
	}
	return w.era
}

// runQueue runs the tasks that are due, in the order of their times.
func (w *world) runQueue() {
	for {
		i := slices.IndexFunc(w.queue, func(t task) bool { return t.at <= w.now })
		if i < 0 {
			return
		}
		for k, t := range w.queue {
			if t.at < w.queue[i].at {
				i = k
			}
		}
		t := w.queue[i]
		w.queue = slices.Delete(w.queue, i, i+1)
		t.do()
	}
}

// rank returns the node's position among the living ones. Two are candidates.
func (w *world) rank(n *node) int {
	rank := 0
	for _, m := range w.nodes {
		if m == n && rank < 2 {
			return rank
		}
		if !m.dead {
			rank++
		}
	}
	return -1
}

// share tells the other nodes what the node knows of the duty.
func (w *world) share(n *node) {
	for _, m := range w.nodes {
		if m != n && !m.dead && !m.cut && !n.cut && w.now >= m.suspendedUntil {
			w.handle(m, StandingHeard{At: w.time(m), From: n.id, Standing: n.reporter.Standing()})
		}
	}
}

// disturb makes one fault, drawn at random.
func (w *world) disturb() {
	n := w.nodes[w.draw(len(w.nodes))]
	switch w.draw(12) {
	case 0, 1:
		n.suspendedUntil = w.now + time.Duration(1+w.draw(200))*tickTime
	case 2:
		// The holder alone is suspended, in the middle of a send or a write.
		for _, n := range w.nodes {
			if n.reporter.State() == StateHolder {
				n.suspendedUntil = w.now + time.Duration(90+w.draw(60))*tickTime
			}
		}
	case 3:
		w.kill(n)
	case 4:
		if n.dead {
			w.restart(n)
		} else {
			w.kill(n)
			w.restart(n)
		}
	case 5, 6, 7:
		w.store = mode(w.draw(int(modes)))
	case 8:
		w.api = mode(w.draw(int(modes)))
	case 9:
		n.cut = !n.cut
	case 10:
		n.jump = time.Duration(w.draw(80)-40) * tickTime
	case 11:
		if !n.dead {
			w.handle(n, Leave{At: w.time(n)})
		}
	}
}

// runWithFaults lets the time pass with faults until a rule is broken.
func (w *world) runWithFaults(faults int) {
	w.run(10 * time.Second)
	for range faults {
		w.disturb()
		w.run(time.Duration(1+w.draw(50)) * tickTime)
		if w.fault != nil {
			return
		}
	}
}
