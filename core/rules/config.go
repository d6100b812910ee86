// Package rules holds the versioned configuration of a whole deployment: its routes, services and
// limits for callers. It finds the route for a call.
package rules

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"goldcreststand.example/core/access"
	"goldcreststand.example/core/ident"
)

// Host is the host name by which callers address a set of routes.
type Host string

// Config is one version of the configuration. It is immutable once published.
type Config struct {
	Version  ident.Revision
	Services map[ident.ServiceName]*Service
	Limits   Limits
	// Access holds the organisations whose callers need a key. It is nil if the configuration has no organisations.
	Access *access.Registry
	// routes holds the routes of each host, those with the longest prefix first.
	routes map[Host][]*Route
}

// Route defines the handling of calls to one host with a common path prefix.
type Route struct {
	Name ident.RouteName
	// PathPrefix is the common prefix of the paths; it begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Targets are the services that the calls are distributed to, in proportion to their weights.
	Targets []Target
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value to the caller.
	TargetLatency time.Duration
	// MaxServers is the maximum number of backend servers that one call may be sent to.
	MaxServers int
	// Priority is the priority of the calls; 0 is the most urgent.
	Priority int
	// Public reports that calls need no key, also when the configuration has organisations.
	Public bool
}

// Target is one of the services that the calls of a route are distributed to.
type Target struct {
	Service ident.ServiceName
	Weight  ident.Weight
}

// Service describes the servers of one service.
type Service struct {
	Name ident.ServiceName
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is the number of connections that one server accepts in total.
	MaxConns int
	// WarmupRate is the number of calls per second that a server in warm-up can take.
	WarmupRate float64
}

// Limits limits what a caller may send and how long its connection may be idle; 0 means no limit.
type Limits struct {
	MaxHeader ident.Bytes
	MaxBody   ident.Bytes
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// New returns a configuration without routes.
func New(version ident.Revision, limits Limits) *Config {
	return &Config{
		Version:  version,
		Limits:   limits,
		Services: make(map[ident.ServiceName]*Service),
		routes:   make(map[Host][]*Route),
	}
}

// Add adds a route of the host. It must not be called after the configuration was published.
func (c *Config) Add(h Host, r *Route) {
	rs := c.routes[h]
	i, _ := slices.BinarySearchFunc(rs, r, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	c.routes[h] = slices.Insert(rs, i, r)
}

// Find returns the host's route with the longest prefix of the path, or nil.
func (c *Config) Find(h Host, path string) *Route {
	for _, r := range c.routes[h] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// LowestPriority returns the priority of the least urgent route to the service.
func (c *Config) LowestPriority(s ident.ServiceName) int {
	lowest := 0
	for _, rs := range c.routes {
		for _, r := range rs {
			if slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == s }) {
				lowest = max(lowest, r.Priority)
			}
		}
	}
	return lowest
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, rs := range c.routes {
		n += len(rs)
	}
	return n
}

// Newer reports whether c replaces other. A nil configuration is older than any.
func (c *Config) Newer(other *Config) bool {
	if c == nil {
		return false
	}
	return other == nil || c.Version > other.Version
}

// PickService returns a random service for a call, in proportion to the weights. It returns false when
// all weights are 0.
func (r *Route) PickService(rng *rand.Rand) (ident.ServiceName, bool) {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service, true
	}
	var total uint64
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return "", false
	}
	at := rng.Uint64N(total)
	for _, t := range r.Targets {
		if at < uint64(t.Weight) {
			return t.Service, true
		}
		at -= uint64(t.Weight)
	}
	return "", false
}
