package proxy

import (
	"strings"

	"goldcreststand.example/core/limit"
)

// headerPriority is the header of RFC 9218.
const headerPriority = "Priority"

// parsePriority returns the urgency that the header values give. As RFC 9218, section 4, asks, parameters
// that are unknown or out of range are ignored; the last urgency wins.
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
