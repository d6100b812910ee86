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

// writers bounds the writes at a time, and those that wait.
const writers = 8

// Writer changes objects of the store.
type Writer interface {
	Announce(ctx context.Context, m ring.Member) error
	Withdraw(ctx context.Context, id ident.InstanceID) error
	Progress(ctx context.Context, o canary.RolloutOrder, age time.Duration) error
}

// Log takes the lines about writes.
type Log interface {
	StateChange(msg string, fields logrus.Fields)
}

// Writes carries out control's writes.
type Writes struct {
	writer Writer
	poster Poster
	log    Log
	pool   *worker.Pool
}

// NewWrites returns an adapter that has not started.
func NewWrites(w Writer, p Poster, log Log) *Writes {
	return &Writes{writer: w, poster: p, log: log, pool: worker.New(writers)}
}

// Run carries out writes until the context ends.
func (x *Writes) Run(ctx context.Context) { x.pool.Run(ctx) }

// Done is closed when Run has returned.
func (x *Writes) Done() <-chan struct{} { return x.pool.Done() }

// Announce writes an instance's entry. Control asks again while the list lacks it.
func (x *Writes) Announce(m ring.Member) {
	x.do("announcing this instance", func(ctx context.Context) error { return x.writer.Announce(ctx, m) })
}

// Withdraw removes an instance's entry. Control asks again while the list has a dead one.
func (x *Writes) Withdraw(id ident.InstanceID) {
	x.do("withdrawing an instance", func(ctx context.Context) error { return x.writer.Withdraw(ctx, id) })
}

// Progress writes the phase of a rollout and posts how that ended.
func (x *Writes) Progress(a hub.Progress) {
	ok := x.do("writing a rollout's progress", func(ctx context.Context) error {
		err := x.writer.Progress(ctx, a.Order, a.Age)
		_ = x.poster.Post(ctx, hub.Written{Service: a.Order.Service, Err: err})
		return err
	})
	if !ok {
		go func() { _ = x.poster.Post(context.Background(), hub.Written{Service: a.Order.Service}) }()
	}
}

func (x *Writes) do(what string, call func(context.Context) error) bool {
	ok := x.pool.TrySubmit(func(ctx context.Context) {
		if err := call(ctx); err != nil {
			x.log.StateChange("feed: "+what+" failed", logrus.Fields{"error": err.Error()})
		}
	})
	if !ok {
		x.log.StateChange("feed: "+what+" failed", logrus.Fields{"error": "too many writes wait"})
	}
	return ok
}
