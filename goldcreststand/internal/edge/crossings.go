package edge

import (
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"goldcreststand.example/core/cross"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/spread"
)

// crossings holds what is known of the calls of each service that leave the failure domain. It is safe for concurrent use;
// services share no lock.
type crossings struct {
	services *sync.Map
	sizes    *cross.Sizes
	price    cross.BytePrice
}

func newCrossings() crossings {
	return crossings{services: new(sync.Map), sizes: cross.NewSizes(), price: cross.DefaultBytePrice}
}

// crossing is the part of crossings for one service.
type crossing struct {
	mu         sync.Mutex
	controller *cross.Controller
}

// find returns the part for the service, or nil if no call of the service has used it.
func (cs *crossings) find(n ident.ServiceName) *crossing {
	if x, ok := cs.services.Load(n); ok {
		return x.(*crossing)
	}
	return nil
}

// get returns the part for the service.
func (cs *crossings) get(n ident.ServiceName) *crossing {
	if x := cs.find(n); x != nil {
		return x
	}
	x, _ := cs.services.LoadOrStore(n, &crossing{controller: cross.NewController()})
	return x.(*crossing)
}

// report records the load report of a server in another domain, for a service whose calls are judged before they leave.
func (cs *crossings) report(svc *spread.Service, s *spread.Server, r checkReply, now time.Time) {
	if s.Local || !r.hasLoad {
		return
	}
	if x := cs.find(svc.Rules.Name); x != nil {
		// Slow machines are found in each domain, and the better of several servers is taken: only the load is compared.
		load := r.load
		load.Slowness = spread.NormalSlowness
		x.use(func(c *cross.Controller) { c.Report(s.Domain, load.Utilization(), load.Slowdown(), now) })
	}
}

// clone returns a copy with the part for the service, whose changes do not affect cs.
func (cs *crossings) clone(n ident.ServiceName) crossings {
	out := crossings{services: new(sync.Map), sizes: cs.sizes, price: cs.price}
	if x := cs.find(n); x != nil {
		x.use(func(c *cross.Controller) { out.services.Store(n, &crossing{controller: c.Clone()}) })
	}
	return out
}

// use calls f with the controller, which f must not keep.
func (x *crossing) use(f func(c *cross.Controller)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.controller)
}

// domains returns the number of servers of each domain.
func domains(servers []*spread.Server) map[ident.DomainName]int {
	out := make(map[ident.DomainName]int)
	for _, s := range servers {
		out[s.Domain]++
	}
	return out
}

// callCrossing is what a call knows about leaving its failure domain.
type callCrossing struct {
	// since is the time of the first attempt to pick a server.
	since time.Time
	// counted reports that the controller has counted the call.
	counted bool
	// decided reports that decision is the last decision for the call, after home had no acceptable server.
	decided  bool
	decision cross.Decision
}

// addTo adds the reason of the last decision to the fields of a log line.
func (x *callCrossing) addTo(f logrus.Fields) {
	if x.decided {
		f["cross"] = x.decision.Reason.String()
	}
}

// recordBytes records the size of a response, and the bytes that a try sent between failure domains.
func (c *call) recordBytes(t *try) {
	if t.resp == nil {
		return
	}
	n := int64(len(t.resp.body))
	if t.resp.rest != nil {
		// A long body is read later, and its length may be unknown.
		stated, _ := strconv.ParseInt(t.resp.header.Get("Content-Length"), 10, 64)
		n = max(n, stated)
	}
	c.h.crossings.sizes.Observe(c.route.Name, ident.Bytes(n))
	if !t.server.Local {
		c.h.metrics.RemoteBytes.Add(n + c.body.size)
	}
}

// bytes returns the size of the request's body and the expected size of the response's.
func (c *call) bytes() ident.Bytes {
	return ident.Bytes(c.body.size) + c.h.crossings.sizes.Estimate(c.route.Name)
}
