package cross

import (
	"sync"

	"goldcreststand.example/core/ident"
)

const (
	// sizeSmoothing is the weight of the newest response in the estimate of a route.
	sizeSmoothing = 0.1
	// maxRoutes bounds the number of routes with an estimate.
	maxRoutes = 4096
)

// Sizes estimates the size of the responses of each route. It is safe for concurrent use.
type Sizes struct {
	mu     sync.Mutex
	routes map[ident.RouteName]float64
}

// NewSizes returns estimates without responses.
func NewSizes() *Sizes { return &Sizes{routes: make(map[ident.RouteName]float64)} }

// Observe records the size of a response.
func (s *Sizes) Observe(r ident.RouteName, n ident.Bytes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.routes[r]
	switch {
	case ok:
		s.routes[r] = old + sizeSmoothing*(float64(n)-old)
	case len(s.routes) < maxRoutes:
		s.routes[r] = float64(n)
	}
}

// Estimate returns the expected size of a response of the route, or 0 if it is unknown.
func (s *Sizes) Estimate(r ident.RouteName) ident.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ident.Bytes(s.routes[r])
}
