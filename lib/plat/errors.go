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

// Error classes of this package. Each error belongs to exactly one of them.
var (
	// ErrConflict is the class of conditional writes that failed because the object has changed. Nothing
	// was written.
	ErrConflict = errs.Class("platform conflict")
	// ErrNotFound is the class of reads of objects that do not exist.
	ErrNotFound = errs.Class("platform object not found")
	// ErrUnavailable is the class of calls that did not reach the platform and of reads that failed on its
	// side. Nothing was written.
	ErrUnavailable = errs.Class("platform unavailable")
	// ErrUnknownOutcome is the class of writes whose outcome is unknown.
	ErrUnknownOutcome = errs.Class("platform write of unknown outcome")
	// ErrRateLimited is the class of calls that the platform rejected because of a rate limit. The error wraps a
	// *RateLimitError. Nothing was written.
	ErrRateLimited = errs.Class("platform rate limit")
	// ErrInvalid is the class of invalid values and of requests that the platform rejects. A value that was read
	// is not used, and a value that was to be written is not written.
	ErrInvalid = errs.Class("platform value not valid")
)

// RateLimitError is the cause of an error of the class ErrRateLimited.
type RateLimitError struct {
	Path string
	// RetryAfter is the delay that the platform asks for, or 0.
	RetryAfter time.Duration
}

// Error returns the path and the requested delay.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%s: retry after %s", e.Path, e.RetryAfter)
}

// statusError returns the error for a response that is neither a success nor a conflict. Responses with a
// 5xx status get the class serverError.
func statusError(path string, resp *http.Response, serverError *errs.Class) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		n, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return ErrRateLimited.Wrap(&RateLimitError{Path: path, RetryAfter: time.Duration(max(n, 0)) * time.Second})
	case resp.StatusCode >= http.StatusInternalServerError:
		return serverError.New("%s: %s", path, resp.Status)
	default:
		return ErrInvalid.New("%s: request rejected: %s", path, resp.Status)
	}
}

// isDialError reports whether no connection could be established, so that no request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
