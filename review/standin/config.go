package main

import (
	"fmt"
	"net/http"
	"time"
)

// rule is one route of a configuration.
type rule struct {
	name, kind, prefix string
	service            string
	priority           int
	target, timeout    time.Duration
}

const host = "ficu95.example"

// config returns a configuration in the form of the operator.
func config(version uint32, services []string, rules ...rule) map[string]any {
	var rs, cs []any
	for _, r := range rules {
		rs = append(rs, map[string]any{
			"name": r.name, "kind": r.kind, "targetLatencyMs": r.target.Milliseconds(), "priority": r.priority,
			"match":  map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutMs": r.timeout.Milliseconds(), "maxAttempts": 2},
		})
	}
	for _, s := range services {
		cs = append(cs, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 7.4,
		})
	}
	return map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []any{map[string]any{"host": host, "rules": rs}}, "clusters": cs,
	}
}

// method returns the method of a route's requests.
func (r rule) method() string {
	if r.kind == "safe" {
		return http.MethodGet
	}
	return http.MethodPost
}

// limit is the time limit of the requests of a route.
func (r rule) limit() time.Duration { return r.timeout + 700*time.Millisecond }
