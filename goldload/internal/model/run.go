package model

import (
	"math"
	"math/rand/v2"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
	"goldcreststand.example/core/place"
	"goldcreststand.example/core/roster"
	"goldcreststand.example/core/route"
	"goldcreststand.example/core/table"
)

// Times at which instances learn about each other.
const (
	// detection is the time until all instances know that one has failed.
	detection = 3 * time.Second
	// joining is the time until all instances know a new one.
	joining = time.Second
)

// run is the state of one run.
type run struct {
	Scenario
	schedule
	policy  Policy
	end     time.Duration
	listing []roster.Server
	servers []*server
	byID    map[ident.ServerID]*server
	table   *table.Table
	fleet   []*instance
	// serving are the instances that serve the service, as the members say.
	serving []place.Instance
	// plan are the shares that are due.
	plan map[ident.InstanceID]limit.Shares
	// members are the instances that the callers and all instances know.
	members []place.Instance
	traffic *traffic
	started int
	report  *Report
}

// Run simulates the scenario under the policy. Runs with equal arguments give equal reports, and all
// policies get the same calls.
func Run(s Scenario, p Policy) *Report {
	r := &run{
		Scenario: s, policy: p, end: lead + s.Time, listing: s.Deployment.listing(),
		byID: make(map[ident.ServerID]*server), table: new(table.Table), report: newReport(),
	}
	for _, b := range r.listing {
		x := &server{Server: b}
		r.servers = append(r.servers, x)
		r.byID[b.ID] = x
	}
	r.members = s.Deployment.nodes()
	for i, n := range r.members {
		x := newInstance(r, n, uint64(i))
		x.alive = true
		r.fleet = append(r.fleet, x)
	}
	r.learn()
	for _, f := range s.Faults {
		f.apply(r)
	}
	r.at(0, r.tick)
	r.traffic = newTraffic(r)
	r.at(lead, r.traffic.next)
	r.run(r.end + s.Deadline)
	for _, x := range r.servers {
		r.report.Over = max(r.report.Over, x.peak-x.Slots)
	}
	return r.report
}

// tick runs control at all instances.
func (r *run) tick() {
	for _, x := range r.fleet {
		x.control()
	}
	r.at(r.now+controlInterval, r.tick)
}

// learn lets every instance know the members and the routing table.
func (r *run) learn() {
	placed := place.ServingInstances(ident.ServiceName(r.Deployment.Name), r.members, r.Deployment.Count)
	r.serving = limit.ServingInstances(r.table, placed)
	caps := limit.Caps(r.table, r.listing)
	r.plan = r.policy.Splitter.Split(ident.ServiceName(r.Deployment.Name), caps, r.serving)
}

func (r *run) middle() span { return span{lead + r.Time/3, lead + r.Time*2/3} }

// rank returns the instance's position in placement order.
func (r *run) rank(x *instance) int {
	for i, n := range place.Order(r.Deployment.Name, r.members) {
		if n == x.node {
			return i
		}
	}
	return len(r.members)
}

// stop ends an instance at once. The others know after detection.
func (r *run) stop(x *instance) {
	x.alive = false
	for e := x.queue.Next(r.now, func(*limit.Entry[*call]) {}); e != nil; e = x.queue.Next(r.now, func(*limit.Entry[*call]) {}) {
		x.queue.Remove(e)
		r.reject(e.Value)
	}
	r.at(r.now+detection, func() {
		if x.alive {
			return
		}
		var rest []place.Instance
		for _, n := range r.members {
			if n != x.node {
				rest = append(rest, n)
			}
		}
		r.members = rest
		r.learn()
	})
}

// begin starts an instance again.
func (r *run) begin(x *instance) {
	x.reset()
	x.alive = true
	r.at(r.now+joining, func() {
		for _, n := range r.members {
			if n == x.node {
				return
			}
		}
		r.members = append(r.members, x.node)
		r.learn()
	})
}

// setTable lets all instances know a new routing table.
func (r *run) setTable(t *table.Table) {
	r.table = t
	r.learn()
}

// entry returns the instance that a new call goes to: one of those that serve the service and have
// shares in force, if there are any. Instances without shares forward their calls to these.
func (r *run) entry(rng *rand.Rand) *instance {
	var ready, live []*instance
	for _, n := range r.serving {
		for _, x := range r.fleet {
			if x.node.ID != n.ID || !x.alive {
				continue
			}
			live = append(live, x)
			if x.slots > 0 {
				ready = append(ready, x)
			}
		}
	}
	if len(ready) > 0 {
		live = ready
	}
	u, v := rng.Float64(), rng.Float64()
	switch {
	case len(live) == 0:
		return nil
	case r.Skew > 0 && u < r.Skew:
		return live[0]
	case r.Skew > 0 && len(live) > 1:
		return live[1+int(v*float64(len(live)-1))]
	default:
		return live[int(v*float64(len(live)))]
	}
}

func (r *run) reject(c *call) {
	if c.done {
		return
	}
	c.done = true
	r.report.add(c, r.now, Rejected)
}

func (r *run) finish(c *call, result route.Result) {
	c.done = true
	switch result {
	case route.ResultOK:
		r.report.add(c, r.now, Completed)
	case route.ResultTimeout:
		r.report.add(c, r.now, Late)
	default:
		r.report.add(c, r.now, Failed)
	}
}

// work draws the time that a call takes: log-normal, with a standard deviation of about half the mean.
func work(rng *rand.Rand) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(meanWork) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}
