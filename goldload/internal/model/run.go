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

// Delays after which membership changes are known.
const (
	// failureDetectionTime is the time until all instances have detected that one has failed.
	failureDetectionTime = 3 * time.Second
	// joinTime is the time until all instances know an instance that has joined.
	joinTime = time.Second
)

// run is the state of one simulation run.
type run struct {
	Scenario
	schedule
	policy     Policy
	trafficEnd time.Duration
	serverList []roster.Server
	servers    []*server
	byID       map[ident.ServerID]*server
	table      *table.Table
	instances  []*instance
	// serving are the members that serve the service.
	serving []place.Instance
	// shares are the target shares of the serving instances. An instance takes up larger shares with a delay.
	shares map[ident.InstanceID]limit.Shares
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
		Scenario: s, policy: p, trafficEnd: trafficStart + s.Duration, serverList: s.Deployment.serverList(),
		byID: make(map[ident.ServerID]*server), table: new(table.Table), report: newReport(),
	}
	for _, b := range r.serverList {
		x := &server{Server: b}
		r.servers = append(r.servers, x)
		r.byID[b.ID] = x
	}
	r.members = s.Deployment.placeInstances()
	for i, m := range r.members {
		x := newInstance(r, m, uint64(i))
		x.alive = true
		r.instances = append(r.instances, x)
	}
	r.updateShares()
	for _, f := range s.Faults {
		f.apply(r)
	}
	r.at(0, r.tick)
	r.traffic = newTraffic(r)
	r.at(trafficStart, r.traffic.nextCall)
	r.runUntil(r.trafficEnd + s.Deadline)
	for _, x := range r.servers {
		r.report.MaxExcess = max(r.report.MaxExcess, x.peak-x.Slots)
	}
	return r.report
}

// tick publishes a snapshot at each instance and schedules the next tick.
func (r *run) tick() {
	for _, x := range r.instances {
		x.publishSnapshot()
	}
	r.at(r.now+controlInterval, r.tick)
}

// updateShares recomputes the serving instances and their shares from the members and the routing table.
func (r *run) updateShares() {
	placed := place.ServingInstances(ident.ServiceName(r.Deployment.Name), r.members, r.Deployment.ServingInstances)
	r.serving = limit.ActiveInstances(r.table, placed)
	caps := limit.Caps(r.table, r.serverList)
	r.shares = r.policy.Splitter.Split(ident.ServiceName(r.Deployment.Name), caps, r.serving)
}

// middleThird returns the middle third of the time with traffic.
func (r *run) middleThird() span {
	return span{trafficStart + r.Duration/3, trafficStart + r.Duration*2/3}
}

// rank returns the instance's position in placement order.
func (r *run) rank(x *instance) int {
	for i, m := range place.Order(r.Deployment.Name, r.members) {
		if m == x.member {
			return i
		}
	}
	return len(r.members)
}

// stop stops an instance immediately. The other instances detect it after failureDetectionTime.
func (r *run) stop(x *instance) {
	x.alive = false
	for e := x.queue.Next(r.now, func(*limit.Entry[*call]) {}); e != nil; e = x.queue.Next(r.now, func(*limit.Entry[*call]) {}) {
		x.queue.Remove(e)
		r.reject(e.Value)
	}
	r.at(r.now+failureDetectionTime, func() {
		if x.alive {
			return
		}
		var rest []place.Instance
		for _, m := range r.members {
			if m != x.member {
				rest = append(rest, m)
			}
		}
		r.members = rest
		r.updateShares()
	})
}

// restart starts a stopped instance. It becomes a member after joinTime.
func (r *run) restart(x *instance) {
	x.reset()
	x.alive = true
	r.at(r.now+joinTime, func() {
		for _, m := range r.members {
			if m == x.member {
				return
			}
		}
		r.members = append(r.members, x.member)
		r.updateShares()
	})
}

// setTable applies a new routing table at all instances.
func (r *run) setTable(t *table.Table) {
	r.table = t
	r.updateShares()
}

// pickInstance returns the instance that handles a new call: a live serving instance that has slots, if there
// is one, because instances without slots forward their calls to the others.
func (r *run) pickInstance(rng *rand.Rand) *instance {
	var withSlots, live []*instance
	for _, m := range r.serving {
		for _, x := range r.instances {
			if x.member.ID != m.ID || !x.alive {
				continue
			}
			live = append(live, x)
			if x.slots > 0 {
				withSlots = append(withSlots, x)
			}
		}
	}
	if len(withSlots) > 0 {
		live = withSlots
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
	r.report.add(c, r.now, OutcomeRejected)
}

func (r *run) complete(c *call, result route.Result) {
	c.done = true
	switch result {
	case route.ResultOK:
		r.report.add(c, r.now, OutcomeCompleted)
	case route.ResultTimeout:
		r.report.add(c, r.now, OutcomeLate)
	default:
		r.report.add(c, r.now, OutcomeFailed)
	}
}

// drawWorkTime draws the time that a server takes for a call. The distribution is log-normal with a standard
// deviation of about half the mean.
func drawWorkTime(rng *rand.Rand) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(meanWorkTime) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}
