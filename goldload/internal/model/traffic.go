package model

import (
	"math/rand/v2"
	"time"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/limit"
)

// Constants of the demand.
const (
	// Waves come every waveInterval and last waveTime; the rate is waveFactor times the mean in a wave
	// and calmFactor times the mean otherwise. The mean over an interval is 1.
	waveInterval = time.Second
	waveTime     = 100 * time.Millisecond
	waveFactor   = 5.5
	calmFactor   = 0.5
	// urgentPart is the part of the calls in urgentClass.
	urgentPart  = 0.1
	urgentClass = limit.Class(1)
	tenantCount = 4
)

// traffic generates the calls. It has its own random numbers, so that all policies get the same calls.
type traffic struct {
	run *run
	rng *rand.Rand
}

func newTraffic(r *run) *traffic {
	return &traffic{run: r, rng: rand.New(rand.NewPCG(r.Seed, 1<<32))}
}

// next makes a call and schedules the one after it.
func (t *traffic) next() {
	r := t.run
	if r.now >= r.end {
		return
	}
	c := &call{start: r.now, work: work(t.rng)}
	c.Deadline = r.now + r.Deadline
	c.Class = limit.DefaultClass
	if t.rng.Float64() < urgentPart {
		c.Class = urgentClass
	}
	c.Tenant = t.tenant(t.rng.Float64(), t.rng.IntN(tenantCount))
	if x := r.entry(t.rng); x == nil {
		r.reject(c)
	} else {
		x.accept(c)
	}
	rate := r.Deployment.rate() * r.Load * t.factor()
	r.at(r.now+time.Duration(t.rng.ExpFloat64()/rate*float64(time.Second)), t.next)
}

func (t *traffic) inWave() bool { return t.run.Waves && (t.run.now-lead)%waveInterval < waveTime }

func (t *traffic) factor() float64 {
	switch {
	case !t.run.Waves:
		return 1
	case t.inWave():
		return waveFactor
	default:
		return calmFactor
	}
}

// burster is the tenant that causes the waves.
const burster ident.TenantName = "burst"

// tenant returns the caller's tenant: what a wave adds comes from the burster.
func (t *traffic) tenant(u float64, i int) ident.TenantName {
	if t.inWave() && u < 1-calmFactor/waveFactor {
		return burster
	}
	return ident.TenantName("t" + string(rune('0'+i)))
}
