// Package proxy serves callers: it looks up instances for a service and forwards calls to backend
// servers.
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

// Headers of the caller's contract.
const (
	headerTimeout     = "Request-Timeout"
	headerIdempotent  = "Idempotent"
	headerTenant      = "Tenant"
	headerProxyStatus = "Proxy-Status"
)

// Headers between instances, and of the backend server's contract.
const (
	headerHop      = "Forwarded-Hop"
	headerExecuted = "Executed"
	headerLoad     = "Load"
)

// ErrCall is the class of invalid calls.
var ErrCall = errs.Class("invalid call")

// call is what a caller's request asks for.
type call struct {
	service    ident.ServiceName
	tenant     ident.TenantName
	route      ident.RouteName
	class      limit.Class
	timeout    time.Duration
	idempotent bool
}

// parseCall reads the headers of a caller's request.
func parseCall(r *http.Request, timeout, maximum time.Duration) (call, error) {
	c := call{
		timeout:    timeout,
		idempotent: safeMethod(r.Method) || r.Header.Get(headerIdempotent) == "?1",
		class:      parsePriority(r.Header.Values(headerPriority)),
		route:      parseRoute(r.URL.Path),
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	if err := c.service.UnmarshalText([]byte(host)); err != nil {
		return c, ErrCall.New("header Host: %w", err)
	}
	if v := r.Header.Get(headerTenant); v != "" {
		if err := c.tenant.UnmarshalText([]byte(v)); err != nil {
			return c, ErrCall.New("header Tenant: %w", err)
		}
	}
	if v := r.Header.Get(headerTimeout); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			return c, ErrCall.New("header Request-Timeout: %q is not a number of milliseconds", v)
		}
		c.timeout = min(time.Duration(ms)*time.Millisecond, maximum)
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
