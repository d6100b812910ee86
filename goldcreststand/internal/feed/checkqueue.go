package feed

import (
	"context"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/relay"
	"goldcreststand.example/goldcreststand/internal/hub"
	"goldcreststand.example/goldcreststand/internal/worker"
)

// maxChecks limits the concurrent checks, and the queued ones. While the store is silent, one is made each 300 ms and fails after
// relay.CheckTimeout.
const maxChecks = 8

// errChecksBusy reports that too many checks are in progress.
var errChecksBusy = errs.New("too many checks are in progress")

// Checker checks whether the store replies.
type Checker interface {
	// Check returns the era of the store's reply.
	Check(ctx context.Context) (ident.Era, error)
}

// CheckQueue carries out the checks of the store that the control goroutine requests.
type CheckQueue struct {
	checker Checker
	poster  Poster
	pool    *worker.Pool
}

// NewCheckQueue returns a queue that has not started.
func NewCheckQueue(c Checker, p Poster) *CheckQueue {
	return &CheckQueue{checker: c, poster: p, pool: worker.New(maxChecks)}
}

// Run carries out the queued checks until the context ends.
func (q *CheckQueue) Run(ctx context.Context) { q.pool.Run(ctx) }

// Done is closed when Run has returned.
func (q *CheckQueue) Done() <-chan struct{} { return q.pool.Done() }

// Check makes one check and posts its result.
func (q *CheckQueue) Check(a hub.CheckStore) {
	ok := q.pool.TrySubmit(func(ctx context.Context) {
		checkCtx, cancel := context.WithTimeout(ctx, relay.CheckTimeout)
		defer cancel()
		era, err := q.checker.Check(checkCtx)
		_ = q.poster.Post(ctx, hub.StoreChecked{At: a.At, Era: era, Err: err})
	})
	if !ok {
		go func() { _ = q.poster.Post(context.Background(), hub.StoreChecked{At: a.At, Err: errChecksBusy}) }()
	}
}
