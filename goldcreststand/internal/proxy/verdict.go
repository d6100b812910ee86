package proxy

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"goldcreststand.example/core/retry"
)

// Error types of the Proxy-Status header (RFC 9209, section 2.3).
const (
	errorInternal   = "proxy_internal_error"
	errorLoop       = "proxy_loop_detected"
	errorNoSlot     = "connection_limit_reached"
	errorRefused    = "connection_refused"
	errorShed       = "destination_unavailable"
	errorConnecting = "connection_timeout"
	errorBroken     = "connection_terminated"
	errorNoResponse = "http_response_timeout"
	errorRequest    = "http_request_error"
	errorUnknown    = "destination_not_found"
)

// verdict is the end of a call without a server's response. It passes through httputil.ReverseProxy as
// the error of a round trip.
type verdict struct {
	cause    retry.Cause
	executed bool
	// throttled says that the call's tenant is at its limit.
	throttled bool
}

var _ error = (*verdict)(nil)

// Error returns the cause.
func (v *verdict) Error() string { return v.cause.String() }

// write answers the caller.
func (v *verdict) write(w http.ResponseWriter) {
	if v.executed {
		writeUnknown(w, v.cause)
		return
	}
	status := http.StatusServiceUnavailable
	if v.throttled {
		status = http.StatusTooManyRequests
	}
	writeReject(w, status, rejectError(v.cause))
}

func rejectError(c retry.Cause) string {
	switch c {
	case retry.CauseNoServer:
		return errorNoSlot
	case retry.CauseRefused:
		return errorRefused
	case retry.CauseShed:
		return errorShed
	case retry.CauseDeadline:
		return errorConnecting
	default:
		return errorInternal
	}
}

// writeReject answers that the call was rejected and not executed.
func writeReject(w http.ResponseWriter, status int, kind string) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set(headerProxyStatus, "goldcreststand; error="+kind+"; executed=no")
	w.WriteHeader(status)
}

// writeUnknown answers that the call may have been executed.
func writeUnknown(w http.ResponseWriter, c retry.Cause) {
	kind, status := errorBroken, http.StatusBadGateway
	if c == retry.CauseDeadline {
		kind, status = errorNoResponse, http.StatusGatewayTimeout
	}
	w.Header().Set(headerProxyStatus, "goldcreststand; error="+kind+"; executed=unknown")
	w.WriteHeader(status)
}

// refuse answers that the request is at fault; it was not executed.
func refuse(c echo.Context, status int, kind, message string) error {
	c.Response().Header().Set(headerProxyStatus, "goldcreststand; error="+kind+"; executed=no")
	return echo.NewHTTPError(status, message)
}

// reject answers that the call was rejected and not executed.
func reject(c echo.Context, kind string) error {
	writeReject(c.Response(), http.StatusServiceUnavailable, kind)
	return nil
}
