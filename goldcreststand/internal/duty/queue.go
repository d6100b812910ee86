package duty

import (
	"context"
	"expvar"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/store"
	"goldcreststand.example/core/usage"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/worker"
	"goldcreststand.example/lib/guard"
)

// maxCalls limits the concurrent calls. Control has one call to the store and one report in progress.
const maxCalls = 2

// Store reads and writes the duty's entry.
type Store interface {
	// ReadDuty returns the entry and its position. If there is no entry, the position holds the era of the reply.
	ReadDuty(ctx context.Context) (usage.Entry, store.Position, error)
	// WriteDuty writes the entry on condition that it has the revision, and returns its new position. The revision is 0 if it is not
	// known.
	WriteDuty(ctx context.Context, e usage.Entry, condition ident.Revision) (store.Position, error)
}

// API receives the reports.
type API interface {
	// SendReport makes one attempt to send the report. It checks directly before it writes that the lease has not ended.
	SendReport(ctx context.Context, a usage.SendReport) (usage.Outcome, error)
}

// Poster posts events to the control goroutine.
type Poster interface {
	Post(ctx context.Context, ev hub.Event) error
}

// Log receives reports and failures.
type Log interface {
	StateChange(msg string, fields logrus.Fields)
}

// Queue carries out the calls that the control goroutine requests. Each call is answered by an event, since control waits for
// it.
type Queue struct {
	store  Store
	api    API
	poster Poster
	log    Log
	pool   *worker.Pool
	// accepted counts the accepted reports, failed the other attempts, reads and writes the calls to the store.
	accepted, failed, reads, writes expvar.Int
}

// NewQueue returns a queue that has not started.
func NewQueue(s Store, a API, p Poster, log Log) *Queue {
	return &Queue{store: s, api: a, poster: p, log: log, pool: worker.New(maxCalls)}
}

// Publish adds the counters to a map.
func (q *Queue) Publish(to *expvar.Map) {
	to.Set("accepted", &q.accepted)
	to.Set("failed", &q.failed)
	to.Set("reads", &q.reads)
	to.Set("writes", &q.writes)
}

// Run carries out the calls until the context ends.
func (q *Queue) Run(ctx context.Context) { q.pool.Run(ctx) }

// Done is closed when Run has returned.
func (q *Queue) Done() <-chan struct{} { return q.pool.Done() }

// errBusy reports that the queue is full.
var errBusy = store.ErrUnavailable.New("queue of calls is full")

// ReadDuty reads the entry and posts the result.
func (q *Queue) ReadDuty() {
	q.reads.Add(1)
	q.submit(func(ctx context.Context) hub.Event {
		e, at, err := q.store.ReadDuty(ctx)
		if !store.ErrNotFound.Has(err) {
			q.logFailure("reading the entry", err)
		}
		return hub.DutyRead{Entry: e, Position: at, Err: err}
	}, func(err error) hub.Event { return hub.DutyRead{Err: err} })
}

// WriteDuty writes the entry and posts the result.
func (q *Queue) WriteDuty(a hub.WriteDuty) {
	q.writes.Add(1)
	q.submit(func(ctx context.Context) hub.Event {
		at, err := q.store.WriteDuty(ctx, a.Entry, a.Condition)
		q.logFailure("writing the entry", err)
		return hub.DutyWritten{Position: at, Err: err}
	}, func(err error) hub.Event { return hub.DutyWritten{Err: err} })
}

// SendUsage sends a report and posts the result.
func (q *Queue) SendUsage(a hub.SendUsage) {
	q.submit(func(ctx context.Context) hub.Event {
		outcome, err := q.api.SendReport(ctx, a.SendReport)
		q.recordReport(a, outcome, err)
		return hub.UsageSent{Window: a.Report.Window, Outcome: outcome}
	}, func(error) hub.Event { return hub.UsageSent{Window: a.Report.Window, Outcome: usage.OutcomeFailed} })
}

// recordReport counts and logs the outcome of a report.
func (q *Queue) recordReport(a hub.SendUsage, outcome usage.Outcome, err error) {
	fields := logrus.Fields{"window": a.Report.Window, "token": a.Token, "tenants": len(a.Report.Counts), "outcome": outcome.String()}
	if outcome == usage.OutcomeAccepted {
		q.accepted.Add(1)
		q.log.StateChange("duty: report accepted", fields)
		return
	}
	q.failed.Add(1)
	if err != nil {
		fields["error"] = err.Error()
	}
	q.log.StateChange("duty: report failed", fields)
}

func (q *Queue) logFailure(operation string, err error) {
	if err != nil {
		q.log.StateChange("duty: "+operation+" failed", logrus.Fields{"error": err.Error()})
	}
}

// submit queues a call and posts its event, or that of the failure if the call cannot be made or panics.
func (q *Queue) submit(call func(context.Context) hub.Event, failed func(error) hub.Event) {
	ok := q.pool.TrySubmit(func(ctx context.Context) {
		var ev hub.Event
		if err := guard.Call(func() { ev = call(ctx) }); err != nil {
			ev = failed(err)
		}
		_ = q.poster.Post(ctx, ev)
	})
	if !ok {
		go func() { _ = q.poster.Post(context.Background(), failed(errBusy)) }()
	}
}
