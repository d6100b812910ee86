package header

import (
	"net/http"
	"slices"
	"strings"
)

// Single returns the value of a field that a message has once, and whether it has one value. Several different values are
// returned as a list (RFC 9110, section 5.3), which equals none of them. They can belong to two messages, of which the head
// of the first broke off. The name is in canonical form.
func Single(h http.Header, name string) (v string, ok bool) {
	values := h[name]
	if len(values) > 1 {
		values = slices.Compact(slices.Clone(values))
	}
	return strings.Join(values, ", "), len(values) == 1
}
