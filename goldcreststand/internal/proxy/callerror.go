package proxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/retry"
)

// Error types of the Proxy-Status header (RFC 9209, section 2.3).
const (
	errorInternal             = "proxy_internal_error"
	errorLoop                 = "proxy_loop_detected"
	errorConnectionLimit      = "connection_limit_reached"
	errorConnectionRefused    = "connection_refused"
	errorUnavailable          = "destination_unavailable"
	errorConnectionTimeout    = "connection_timeout"
	errorConnectionTerminated = "connection_terminated"
	errorResponseTimeout      = "http_response_timeout"
	errorInvalidRequest       = "http_request_error"
	errorServiceNotFound      = "destination_not_found"
)

// callError reports that a call ended without a server's response. httputil.ReverseProxy passes it on as the
// error of the round trip.
type callError struct {
	cause         retry.Cause
	maybeExecuted bool
	// tenantLimited is set when the call's tenant reached its limit.
	tenantLimited bool
	// retryAfter is the time after which a server takes calls again, or 0 if it is not known.
	retryAfter time.Duration
}

var _ error = (*callError)(nil)

// Error returns the cause.
func (e *callError) Error() string { return e.cause.String() }

// write writes the response for the caller.
func (e *callError) write(w http.ResponseWriter) {
	if e.maybeExecuted {
		writeMaybeExecuted(w, e.cause)
		return
	}
	status := http.StatusServiceUnavailable
	if e.tenantLimited {
		status = http.StatusTooManyRequests
	}
	writeRejected(w, status, proxyErrorType(e.cause), e.retryAfter)
}

func proxyErrorType(c retry.Cause) string {
	switch c {
	case retry.CauseNoServer:
		return errorConnectionLimit
	case retry.CauseRefused:
		return errorConnectionRefused
	case retry.CauseShed:
		return errorUnavailable
	case retry.CauseDeadline:
		return errorConnectionTimeout
	default:
		return errorInternal
	}
}

// writeRejected writes a response that the call was rejected and not executed. The caller may return after the given
// time, which is rounded up to whole seconds.
func writeRejected(w http.ResponseWriter, status int, errorType string, after time.Duration) {
	seconds := max(1, int(math.Ceil(after.Seconds())))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	w.Header().Set(headerProxyStatus, "goldcreststand; error="+errorType+"; executed=no")
	w.WriteHeader(status)
}

// writeMaybeExecuted writes a response that the call may have been executed.
func writeMaybeExecuted(w http.ResponseWriter, c retry.Cause) {
	errorType, status := errorConnectionTerminated, http.StatusBadGateway
	if c == retry.CauseDeadline {
		errorType, status = errorResponseTimeout, http.StatusGatewayTimeout
	}
	w.Header().Set(headerProxyStatus, "goldcreststand; error="+errorType+"; executed=unknown")
	w.WriteHeader(status)
}

// respondInvalid responds that the request is invalid and was not executed.
func respondInvalid(c echo.Context, status int, errorType, message string) error {
	c.Response().Header().Set(headerProxyStatus, "goldcreststand; error="+errorType+"; executed=no")
	return echo.NewHTTPError(status, message)
}

// respondRejected responds that the call was rejected and not executed.
func respondRejected(c echo.Context, errorType string) error {
	writeRejected(c.Response(), http.StatusServiceUnavailable, errorType, 0)
	return nil
}
