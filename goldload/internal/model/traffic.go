package model

import (
	"math/rand/v2"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
)

// Parameters of the traffic.
const (
	// Each burstInterval starts with a burst of burstLength. The rate is burstFactor times the mean in a burst
	// and baseFactor times the mean otherwise. The mean of these factors over an interval is 1.
	burstInterval = time.Second
	burstLength   = 100 * time.Millisecond
	burstFactor   = 5.5
	baseFactor    = 0.5
	// urgentFraction is the fraction of calls in urgentClass.
	urgentFraction = 0.1
	urgentClass    = limit.Class(1)
	tenantCount    = 4
)

// traffic generates the calls. It has its own random numbers, which gives all policies the same calls.
type traffic struct {
	run *run
	rng *rand.Rand
}

func newTraffic(r *run) *traffic {
	return &traffic{run: r, rng: rand.New(rand.NewPCG(r.Seed, 1<<32))}
}

// nextCall makes a call and schedules the next one.
func (t *traffic) nextCall() {
	r := t.run
	if r.now >= r.trafficEnd {
		return
	}
	c := &call{start: r.now, workTime: drawWorkTime(t.rng)}
	c.Deadline = r.now + r.Deadline
	c.Class = limit.DefaultClass
	if t.rng.Float64() < urgentFraction {
		c.Class = urgentClass
	}
	c.Tenant = t.tenant(t.rng.Float64(), t.rng.IntN(tenantCount))
	if x := r.pickInstance(t.rng); x == nil {
		r.reject(c)
	} else {
		x.accept(c)
	}
	rate := r.Deployment.saturationRate() * r.Load * t.rateFactor()
	r.at(r.now+time.Duration(t.rng.ExpFloat64()/rate*float64(time.Second)), t.nextCall)
}

func (t *traffic) inBurst() bool {
	return t.run.Bursts && (t.run.now-trafficStart)%burstInterval < burstLength
}

func (t *traffic) rateFactor() float64 {
	switch {
	case !t.run.Bursts:
		return 1
	case t.inBurst():
		return burstFactor
	default:
		return baseFactor
	}
}

// burstTenant is the tenant whose calls cause the bursts.
const burstTenant ident.TenantName = "burst"

// tenant returns the tenant of a call. The calls that a burst adds to the base rate are those of burstTenant.
func (t *traffic) tenant(u float64, i int) ident.TenantName {
	if t.inBurst() && u < 1-baseFactor/burstFactor {
		return burstTenant
	}
	return ident.TenantName("t" + string(rune('0'+i)))
}
