package watch

import (
	"sync"

	"goldcreststand.example/lib/plat"
)

// outageLog logs the start and the end of a platform outage instead of every failed call.
type outageLog struct {
	log         Log
	mu          sync.Mutex
	unavailable bool
}

// record records the result of a call.
func (o *outageLog) record(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case plat.ErrUnavailable.Has(err):
		if !o.unavailable {
			o.log.Warnf("platform outage started: %v", err)
		}
		o.unavailable = true
		return
	case plat.ErrInvalid.Has(err), plat.ErrRateLimited.Has(err):
		o.log.Warnf("platform call failed: %v", err)
	}
	if o.unavailable {
		o.log.Infof("platform outage ended")
	}
	o.unavailable = false
}
