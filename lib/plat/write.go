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
	// baseDelay and maxDelay bound the delay between two tries.
	baseDelay = 100 * time.Millisecond
	maxDelay  = 2 * time.Second
	// maxConflicts bounds how often Update starts over.
	maxConflicts = 10
	// maxLimited bounds the tries that a rate limit refuses.
	maxLimited = 10
)

// Verdict says what a stored value tells about a write whose outcome is unknown.
type Verdict int

// Verdicts.
const (
	// Undecided says that the stored value is older than the written one: the write has not taken effect
	// yet, or a replica that lags was read.
	Undecided Verdict = iota
	// Applied says that the write took effect.
	Applied
	// Refused says that the write did not take effect and will not.
	Refused
	// Unclear says that the stored value cannot tell any longer.
	Unclear
)

// Store is the part of a Client that a write uses.
type Store interface {
	Get(ctx context.Context, path string, v any) (Tag, error)
	Put(ctx context.Context, path string, tag Tag, v any) (Tag, error)
}

var _ Store = (*Client)(nil)

// Writer writes values of one type, and finds out about writes whose response was lost.
type Writer[T any] struct {
	store Store
	clock clockwork.Clock
	judge func(stored, written *T) Verdict
}

// NewWriter returns a writer. The function judge compares the stored value, or nil, with the written one.
func NewWriter[T any](s Store, clock clockwork.Clock, judge func(stored, written *T) Verdict) *Writer[T] {
	return &Writer[T]{store: s, clock: clock, judge: judge}
}

// Update reads the value, or nil when it is absent, writes the one that change returns for it, and starts
// over after a conflict, so change must stand for an intention that holds whatever others write. When
// change returns nil, nothing is written. Update returns the value that holds. Errors: those of change, and
// those of Write, where ErrConflict says that there were too many conflicts.
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
		old, tag, err = w.readAfter(ctx, path, last)
	}
	if err != nil {
		return nil, err
	}
	return nil, ErrConflict.New("%s was changed by others %d times in a row", path, maxConflicts)
}

// Write writes the value when the object still has the tag. When the response is lost it reads the object
// back, and repeats the same write with the same tag until the outcome is known or the context ends; the
// tag keeps a repeated write from taking effect twice. Errors: ErrConflict, ErrOutage, ErrLimited and
// ErrInvalid when nothing was written, ErrUnknown otherwise.
func (w *Writer[T]) Write(ctx context.Context, path string, tag Tag, v *T) error {
	doubt := false
	for tries := 0; ; tries++ {
		_, err := w.store.Put(ctx, path, tag, v)
		switch {
		case err == nil:
			return nil
		case ErrUnknown.Has(err):
			doubt = true
		case !doubt && (!ErrLimited.Has(err) || tries == maxLimited):
			return err
		}
		if doubt {
			done, rerr := w.lookBack(ctx, path, v)
			if done {
				return rerr
			}
		}
		if werr := w.pause(ctx, tries, err); werr != nil {
			if doubt {
				// The cause is not wrapped, so that the error has one class.
				return ErrUnknown.New("%s: %v", path, err)
			}
			return err
		}
	}
}

// lookBack reads the object and reports whether the outcome of the write is known, or known never to be.
func (w *Writer[T]) lookBack(ctx context.Context, path string, v *T) (bool, error) {
	stored, _, err := w.read(ctx, path)
	if err != nil {
		return false, nil
	}
	switch w.judge(stored, v) {
	case Applied:
		return true, nil
	case Refused:
		return true, ErrConflict.New("%s was changed by someone else", path)
	case Unclear:
		return true, ErrUnknown.New("%s was changed by others too often to recognise the write", path)
	case Undecided:
	}
	return false, nil
}

// read returns the value and its tag, nil and an empty tag when it is absent.
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

// readAfter reads the value until its tag differs from the one that a write conflicted with: until then a
// replica that lags was read.
func (w *Writer[T]) readAfter(ctx context.Context, path string, last Tag) (*T, Tag, error) {
	for tries := 0; ; tries++ {
		v, tag, err := w.read(ctx, path)
		if err == nil && tag != last {
			return v, tag, nil
		}
		if werr := w.pause(ctx, tries, err); werr != nil {
			return nil, "", ErrConflict.New("%s was changed by someone else and cannot be read: %v", path, errors.Join(err, werr))
		}
	}
}

// pause waits for an exponentially growing, jittered delay, or as long as the platform asks.
func (w *Writer[T]) pause(ctx context.Context, tries int, cause error) error {
	d := min(baseDelay<<min(tries, 8), maxDelay)
	d = d/2 + rand.N(d/2)
	var limited *LimitedError
	if errors.As(cause, &limited) {
		d = max(d, limited.After)
	}
	select {
	case <-w.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
