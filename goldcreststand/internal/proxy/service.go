package proxy

import (
	"sync"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/retry"
)

// Start and bounds of what traffic learns about a service.
const (
	// budgetBurst is the number of resends that a service has after a quiet time.
	budgetBurst = 10
	firstDelay  = 100 * time.Millisecond
	// leastDelay keeps hedges of very fast services from being sent for the noise of the scheduler.
	leastDelay = 2 * time.Millisecond
)

// service is what traffic keeps for one service between calls.
type service struct {
	budget *retry.TokenBucket
	delay  *retry.P95Estimator
}

// services holds the services that were called. Only names in the snapshot are added, so that callers
// cannot make it grow.
type services struct {
	resend ident.Share
	byName sync.Map
}

func (s *services) find(n ident.ServiceName) *service {
	if v, ok := s.byName.Load(n); ok {
		return v.(*service)
	}
	v, _ := s.byName.LoadOrStore(n, &service{
		budget: retry.NewTokenBucket(s.resend, budgetBurst),
		delay:  retry.NewP95Estimator(firstDelay, leastDelay),
	})
	return v.(*service)
}
