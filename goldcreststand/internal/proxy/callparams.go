// Package proxy implements the HTTP interface for callers: it resolves a service to instances and forwards
// calls to backend servers.
package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
)

// Headers exchanged with callers.
const (
	headerTimeout     = "Request-Timeout"
	headerIdempotent  = "Idempotent"
	headerTenant      = "Tenant"
	headerProxyStatus = "Proxy-Status"
)

// Headers exchanged between instances and with backend servers.
const (
	headerHop      = "Forwarded-Hop"
	headerExecuted = "Executed"
	headerLoad     = "Load"
	headerLeaving  = "Leaving"
)

// ErrInvalidCall is the class of errors for requests with invalid headers.
var ErrInvalidCall = errs.Class("invalid call")

// callParams holds the parameters that a caller's request sets.
type callParams struct {
	service    ident.ServiceName
	tenant     ident.TenantName
	route      ident.RouteName
	class      limit.Class
	timeout    time.Duration
	idempotent bool
}

// idempotent reports whether the caller allows that the call is executed more than once.
func idempotent(r *http.Request) bool {
	return safeMethod(r.Method) || r.Header.Get(headerIdempotent) == "?1"
}

// parseCallParams reads the parameters of a call from the path and headers of the request.
func parseCallParams(r *http.Request, timeout, maxTimeout time.Duration) (callParams, error) {
	c := callParams{
		timeout:    timeout,
		idempotent: idempotent(r),
		class:      parsePriority(r.Header.Values(headerPriority)),
		route:      parseRoute(r.URL.Path),
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	if err := c.service.UnmarshalText([]byte(host)); err != nil {
		return c, ErrInvalidCall.New("header Host: %w", err)
	}
	if v := r.Header.Get(headerTenant); v != "" {
		if err := c.tenant.UnmarshalText([]byte(v)); err != nil {
			return c, ErrInvalidCall.New("header Tenant: %w", err)
		}
	}
	if v := r.Header.Get(headerTimeout); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			return c, ErrInvalidCall.New("header Request-Timeout: %q is not a number of milliseconds", v)
		}
		c.timeout = min(time.Duration(ms)*time.Millisecond, maxTimeout)
	}
	return c, nil
}

// parseRoute returns the first segment of the path, or no route when it is not a valid name.
func parseRoute(path string) ident.RouteName {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	var n ident.RouteName
	if err := n.UnmarshalText([]byte(first)); err != nil {
		return ""
	}
	return n
}

// safeMethod reports whether the method is safe by RFC 9110, section 9.2.1.
func safeMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
