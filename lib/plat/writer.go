package plat

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limits of writes.
const (
	// baseDelay and maxDelay are the initial and the longest delay between two tries.
	baseDelay = 100 * time.Millisecond
	maxDelay  = 2 * time.Second
	// maxConflicts limits how often Update starts over after a conflict.
	maxConflicts = 10
	// maxRateLimitedTries limits the tries of a write that is rejected by a rate limit.
	maxRateLimitedTries = 10
)

// WriteOutcome is the outcome of a write whose response was lost, as determined from the stored value.
type WriteOutcome int

// Outcomes of a write.
const (
	// WritePending means that the stored value is older than the written one: the write has not taken effect
	// yet, or a stale replica was read.
	WritePending WriteOutcome = iota
	// WriteApplied means that the write took effect.
	WriteApplied
	// WriteRejected means that the write did not take effect and never will.
	WriteRejected
	// WriteIndeterminate means that the stored value no longer shows whether the write took effect.
	WriteIndeterminate
)

// Store reads and writes objects of the platform. Client implements it.
type Store interface {
	Get(ctx context.Context, path string, v any) (Tag, error)
	Put(ctx context.Context, path string, tag Tag, v any) (Tag, error)
}

var _ Store = (*Client)(nil)

// Writer writes values of one type. When a response is lost, it finds out whether the write took effect.
type Writer[T any] struct {
	store   Store
	clock   clockwork.Clock
	outcome func(stored, written *T) WriteOutcome
}

// NewWriter returns a writer. The function outcome determines the outcome of a write from the stored value,
// which is nil if the object does not exist, and the written value.
func NewWriter[T any](s Store, clock clockwork.Clock, outcome func(stored, written *T) WriteOutcome) *Writer[T] {
	return &Writer[T]{store: s, clock: clock, outcome: outcome}
}

// Update reads the value, passes it to change, and writes the result. It passes nil if the object does not
// exist, and writes nothing if change returns nil. After a conflict it starts over, so change may be called
// several times and must be valid for any old value. Update returns the resulting value. It returns the
// errors of change and of Write; ErrConflict means that there were too many conflicts.
func (w *Writer[T]) Update(ctx context.Context, path string, change func(old *T) (*T, error)) (*T, error) {
	old, tag, err := w.read(ctx, path)
	for range maxConflicts {
		if err != nil {
			return nil, err
		}
		next, cerr := change(old)
		if cerr != nil || next == nil {
			return old, cerr
		}
		if err = w.Write(ctx, path, tag, next); err == nil {
			return next, nil
		}
		if !ErrConflict.Has(err) {
			return nil, err
		}
		last := tag
		old, tag, err = w.readUntilChanged(ctx, path, last)
	}
	if err != nil {
		return nil, err
	}
	return nil, ErrConflict.New("%s was changed by others %d times in a row", path, maxConflicts)
}

// Write writes the value if the object still has the tag. If the response is lost, it reads the object and
// repeats the write until the outcome is known or the context ends. The tag prevents a repeated write from
// taking effect twice. ErrConflict, ErrUnavailable, ErrRateLimited and ErrInvalid mean that nothing was
// written; ErrUnknownOutcome means that the write may have taken effect.
func (w *Writer[T]) Write(ctx context.Context, path string, tag Tag, v *T) error {
	uncertain := false
	for tries := 0; ; tries++ {
		_, err := w.store.Put(ctx, path, tag, v)
		switch {
		case err == nil:
			return nil
		case ErrUnknownOutcome.Has(err):
			uncertain = true
		case !uncertain && (!ErrRateLimited.Has(err) || tries == maxRateLimitedTries):
			return err
		}
		if uncertain {
			done, rerr := w.resolveOutcome(ctx, path, v)
			if done {
				return rerr
			}
		}
		if werr := w.backOff(ctx, tries, err); werr != nil {
			if uncertain {
				// The cause is not wrapped because an error must have only one class.
				return ErrUnknownOutcome.New("%s: %v", path, err)
			}
			return err
		}
	}
}

// resolveOutcome reads the object to find out whether a write took effect. It returns true if the outcome is final,
// with the error for it, and false if the write has to be repeated.
func (w *Writer[T]) resolveOutcome(ctx context.Context, path string, v *T) (bool, error) {
	stored, _, err := w.read(ctx, path)
	if err != nil {
		return false, nil
	}
	switch w.outcome(stored, v) {
	case WriteApplied:
		return true, nil
	case WriteRejected:
		return true, ErrConflict.New("%s was changed by someone else", path)
	case WriteIndeterminate:
		return true, ErrUnknownOutcome.New("%s was changed by others too often to recognise the write", path)
	case WritePending:
	}
	return false, nil
}

// read returns the value and its tag, or nil and an empty tag if the object does not exist.
func (w *Writer[T]) read(ctx context.Context, path string) (*T, Tag, error) {
	v := new(T)
	tag, err := w.store.Get(ctx, path, v)
	if ErrNotFound.Has(err) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	return v, tag, nil
}

// readUntilChanged reads the value until its tag differs from last, the tag that a write conflicted with. As long
// as the tag is the same, the value comes from a stale replica.
func (w *Writer[T]) readUntilChanged(ctx context.Context, path string, last Tag) (*T, Tag, error) {
	for tries := 0; ; tries++ {
		v, tag, err := w.read(ctx, path)
		if err == nil && tag != last {
			return v, tag, nil
		}
		if werr := w.backOff(ctx, tries, err); werr != nil {
			return nil, "", ErrConflict.New("%s was changed by someone else and cannot be read: %v", path, errors.Join(err, werr))
		}
	}
}

// backOff waits for an exponential delay with jitter, or longer if the platform asks for it.
func (w *Writer[T]) backOff(ctx context.Context, tries int, cause error) error {
	d := min(baseDelay<<min(tries, 8), maxDelay)
	d = d/2 + rand.N(d/2)
	var limited *RateLimitError
	if errors.As(cause, &limited) {
		d = max(d, limited.RetryAfter)
	}
	select {
	case <-w.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
