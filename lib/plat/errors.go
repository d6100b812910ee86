package plat

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of this package. An error has exactly one of them.
var (
	// ErrConflict is the class of conditional writes that the platform refused because the object has
	// changed: nothing was written.
	ErrConflict = errs.Class("platform conflict")
	// ErrNotFound is the class of reads of objects that do not exist.
	ErrNotFound = errs.Class("platform object not found")
	// ErrOutage is the class of calls that did not reach the platform, and of reads that it failed.
	// Nothing was written.
	ErrOutage = errs.Class("platform unavailable")
	// ErrUnknown is the class of writes whose outcome is unknown.
	ErrUnknown = errs.Class("platform write of unknown outcome")
	// ErrLimited is the class of calls that the platform refused because of a rate limit; it holds a
	// *LimitedError. Nothing was written.
	ErrLimited = errs.Class("platform rate limit")
	// ErrInvalid is the class of values that are not valid. A value from the platform was not used, a value
	// for it was not written.
	ErrInvalid = errs.Class("platform value not valid")
)

// LimitedError is the cause of an error of the class ErrLimited.
type LimitedError struct {
	Path string
	// After is the time that the platform asks to wait, or 0.
	After time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string { return fmt.Sprintf("%s: retry after %s", e.Path, e.After) }

// statusError returns the error for a response that is neither a success nor a conflict.
func statusError(path string, resp *http.Response, unclear *errs.Class) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		n, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return ErrLimited.Wrap(&LimitedError{Path: path, After: time.Duration(max(n, 0)) * time.Second})
	case resp.StatusCode >= http.StatusInternalServerError:
		return unclear.New("%s: %s", path, resp.Status)
	default:
		return ErrInvalid.New("%s: request refused: %s", path, resp.Status)
	}
}

// unsent reports whether the call failed before a connection was made.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
