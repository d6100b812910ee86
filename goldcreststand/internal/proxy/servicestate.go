package proxy

import (
	"sync"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/retry"
)

// Initial values and bounds of the retry budget and the hedge delay of a service.
const (
	// retryBudgetBurst is the number of retries and hedges that a full retry budget allows.
	retryBudgetBurst  = 10
	initialHedgeDelay = 100 * time.Millisecond
	// minHedgeDelay prevents scheduler jitter from triggering hedges for very fast services.
	minHedgeDelay = 2 * time.Millisecond
)

// serviceState is the state that the calls of one service share.
type serviceState struct {
	retryBudget *retry.TokenBucket
	hedgeDelay  *retry.QuantileEstimator
}

// serviceStates holds the state of each service that was called. Only services in the snapshot are added, which
// bounds its size whatever names callers send.
type serviceStates struct {
	retryRatio ident.Share
	byName     sync.Map
}

func (s *serviceStates) get(n ident.ServiceName) *serviceState {
	if v, ok := s.byName.Load(n); ok {
		return v.(*serviceState)
	}
	v, _ := s.byName.LoadOrStore(n, &serviceState{
		retryBudget: retry.NewTokenBucket(s.retryRatio, retryBudgetBurst),
		hedgeDelay:  retry.NewP95Estimator(initialHedgeDelay, minHedgeDelay),
	})
	return v.(*serviceState)
}
