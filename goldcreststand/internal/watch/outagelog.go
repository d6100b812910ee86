package watch

import (
	"sync"

	"goldcreststand.example/lib/plat"
)

// outageLog writes one line when an outage of the platform begins and one when it ends, instead of one for
// each failed call.
type outageLog struct {
	log  Log
	mu   sync.Mutex
	down bool
}

// note takes the result of a call.
func (o *outageLog) note(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case plat.ErrUnavailable.Has(err):
		if !o.down {
			o.log.Warnf("platform is out of reach: %v", err)
		}
		o.down = true
		return
	case plat.ErrInvalid.Has(err), plat.ErrRateLimited.Has(err):
		o.log.Warnf("call failed: %v", err)
	}
	if o.down {
		o.log.Infof("platform is reached again")
	}
	o.down = false
}
