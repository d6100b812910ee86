package proxy

import (
	"strings"

	"goldcreststand.example/core/limit"
)

// headerPriority is the header defined by RFC 9218.
const headerPriority = "Priority"

// parsePriority returns the urgency set by the header values. Parameters that are unknown or out of range are
// ignored, as RFC 9218, section 4, requires; the last urgency wins.
func parsePriority(values []string) limit.Class {
	out := limit.DefaultClass
	for _, p := range strings.Split(strings.Join(values, ","), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(p), "u=")
		if !ok || len(v) != 1 {
			continue
		}
		if c := limit.Class(v[0]) - '0'; c.Valid() {
			out = c
		}
	}
	return out
}
