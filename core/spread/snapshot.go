// Package spread chooses a backend server for each call when every instance may use every server. An instance
// calls each server too seldom to know its load, so it checks a few servers just before each call and takes the
// least loaded one.
package spread

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/notice"
	"goldcreststand.example/core/retry"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/rules"
)

// Snapshot is the state from which traffic goroutines route calls. The control loop publishes a new one after
// each change; a published snapshot is immutable except for the counters in ServerState, TrialLimiter, RetryBudget and
// Silence.
type Snapshot struct {
	// Config is nil until a configuration is known.
	Config   *rules.Config
	Services map[ident.ServiceName]*Service
	// Members are the live instances, sorted by name.
	Members []ring.Member
	// CheckRate is the maximum number of status checks per second by this instance.
	CheckRate float64
	// WaitByDeadline reports that calls wait for a server by their deadlines, and that safe calls whose server is silent get
	// a second try.
	WaitByDeadline bool
	// Ready reports that all data needed to route calls is known.
	Ready bool
	// ShuttingDown reports that this instance shuts down.
	ShuttingDown bool
	// Stop holds the times of the shutdown.
	Stop Stop
}

// Service is the part of a snapshot for one service.
type Service struct {
	Rules *rules.Service
	// LowestPriority is the priority of the least urgent routes to the service.
	LowestPriority int
	// Stable holds the servers that take calls by default, and Canary those of the version in rollout.
	Stable, Canary Pool
	// CanaryShare is the share of the calls of each route that goes to the canary pool. DefaultCanaryShare
	// applies to routes without an entry.
	CanaryShare        map[ident.RouteName]ident.Share
	DefaultCanaryShare ident.Share
	// LimitTrial reports that TrialLimiter bounds the calls to the canary pool, as it does in the trial phase.
	LimitTrial   bool
	TrialLimiter *TrialLimiter
	RetryBudget  *retry.SlidingWindow
	// Silence holds whether the servers fall silent when they are full. It is nil where calls do not wait by their deadlines;
	// there silent servers count as unavailable.
	Silence *Silence
}

// Pool is a set of servers, grouped by failure domain.
type Pool struct {
	// Local are the servers in this instance's failure domain, and Remote all others.
	Local  []*Server
	Remote []*Server
}

// Server is one backend server.
type Server struct {
	ID      ident.ServerID
	Address netip.AddrPort
	Domain  ident.DomainName
	Version ident.VersionName
	Slots   ident.Slots
	// Local reports that the server is in this instance's failure domain.
	Local bool
	// MaxConns is the maximum number of connections from this instance to the server.
	MaxConns int
	// ColdInterval is the minimum time between two calls from this instance to the server while it is cold. It is 0
	// if the instance may send none.
	ColdInterval time.Duration
	State        *ServerState
}

// Size returns the number of servers.
func (p *Pool) Size() int { return len(p.Local) + len(p.Remote) }

// Unavailable reports whether all servers of the pool are leaving or have asked for a pause, and after which time the
// first pause ends.
func (p *Pool) Unavailable(now time.Time) (after time.Duration, unavailable bool) {
	return notice.Unavailable(func(yield func(*notice.Availability, time.Duration) bool) {
		for _, list := range [][]*Server{p.Local, p.Remote} {
			for _, s := range list {
				if !yield(&s.State.availability, now.Sub(s.State.start)) {
					return
				}
			}
		}
	})
}

// Full reports whether a server of the pool is silent because it is full.
func (p *Pool) Full(now time.Time) bool {
	full := func(s *Server) bool { return s.State.Full(now) }
	return slices.ContainsFunc(p.Local, full) || slices.ContainsFunc(p.Remote, full)
}

// Add adds a server.
func (p *Pool) Add(s *Server) {
	if s.Local {
		p.Local = append(p.Local, s)
	} else {
		p.Remote = append(p.Remote, s)
	}
}

// PickPool returns the pool for a new call on the route, and whether it is the canary pool.
func (s *Service) PickPool(r ident.RouteName, rng *rand.Rand) (*Pool, bool) {
	share, ok := s.CanaryShare[r]
	if !ok {
		share = s.DefaultCanaryShare
	}
	switch {
	case s.Canary.Size() == 0:
		return &s.Stable, false
	case s.Stable.Size() == 0:
		return &s.Canary, true
	case ident.Share(rng.Uint32N(uint32(ident.FullShare))) >= share:
		return &s.Stable, false
	case s.LimitTrial && !s.TrialLimiter.Allow():
		return &s.Stable, false
	default:
		return &s.Canary, true
	}
}
