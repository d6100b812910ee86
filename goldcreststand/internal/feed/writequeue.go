package feed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/canary"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/worker"
)

// maxWrites limits the concurrent writes, and the queued ones.
const maxWrites = 8

// Writer writes objects to the store.
type Writer interface {
	RegisterMember(ctx context.Context, m ring.Member) error
	DeregisterMember(ctx context.Context, id ident.InstanceID) error
	WriteProgress(ctx context.Context, o canary.RolloutOrder, age time.Duration) error
}

// Log receives failures of writes.
type Log interface {
	StateChange(msg string, fields logrus.Fields)
}

// WriteQueue carries out the writes that the control goroutine requests.
type WriteQueue struct {
	writer Writer
	poster Poster
	log    Log
	pool   *worker.Pool
}

// NewWriteQueue returns a queue that has not started.
func NewWriteQueue(w Writer, p Poster, log Log) *WriteQueue {
	return &WriteQueue{writer: w, poster: p, log: log, pool: worker.New(maxWrites)}
}

// Run carries out the queued writes until the context ends.
func (q *WriteQueue) Run(ctx context.Context) { q.pool.Run(ctx) }

// Done is closed when Run has returned.
func (q *WriteQueue) Done() <-chan struct{} { return q.pool.Done() }

// RegisterMember writes an instance's entry. The control goroutine requests it again while the list lacks the
// entry.
func (q *WriteQueue) RegisterMember(m ring.Member) {
	q.submit("registering this instance", func(ctx context.Context) error { return q.writer.RegisterMember(ctx, m) })
}

// DeregisterMember removes an instance's entry. The control goroutine requests it again while the list contains a
// dead instance.
func (q *WriteQueue) DeregisterMember(id ident.InstanceID) {
	q.submit("deregistering an instance", func(ctx context.Context) error { return q.writer.DeregisterMember(ctx, id) })
}

// WriteProgress writes the phase of a rollout and posts the result.
func (q *WriteQueue) WriteProgress(a hub.WriteProgress) {
	ok := q.submit("writing a rollout's progress", func(ctx context.Context) error {
		err := q.writer.WriteProgress(ctx, a.Order, a.Age)
		_ = q.poster.Post(ctx, hub.ProgressWritten{Service: a.Order.Service, Err: err})
		return err
	})
	if !ok {
		go func() { _ = q.poster.Post(context.Background(), hub.ProgressWritten{Service: a.Order.Service}) }()
	}
}

func (q *WriteQueue) submit(operation string, write func(context.Context) error) bool {
	ok := q.pool.TrySubmit(func(ctx context.Context) {
		if err := write(ctx); err != nil {
			q.log.StateChange("feed: "+operation+" failed", logrus.Fields{"error": err.Error()})
		}
	})
	if !ok {
		q.log.StateChange("feed: "+operation+" failed", logrus.Fields{"error": "queue of writes is full"})
	}
	return ok
}
