package edge

import (
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/usage"
)

// Usage counts the calls that backend servers execute.
type Usage interface {
	// Begin counts a call whose request is written to a server now, and returns the window in which it counts.
	Begin(t ident.TenantName) usage.Window
	// Revoke takes back a call that was counted in the window.
	Revoke(t ident.TenantName, w usage.Window)
}

// WithUsage counts the calls of tenants.
func WithUsage(u Usage) Option { return func(h *Handler) { h.usage = u } }

// beginUsage counts a try of an organisation's call. It counts as executed until the returned function is told otherwise.
func (h *Handler) beginUsage(t ident.TenantName) (end func(wrote bool, resp *response)) {
	if h.usage == nil || t == "" {
		return func(bool, *response) {}
	}
	w := h.usage.Begin(t)
	return func(wrote bool, resp *response) {
		if !wrote || resp != nil && resp.notExecuted {
			h.usage.Revoke(t, w)
		}
	}
}
