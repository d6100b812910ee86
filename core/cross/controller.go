package cross

import (
	"math"
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// needRise is the time in which the need rises to 63 % while no call finds room at home. Each such call moves it by
	// at least needStep and at most needJump of the way to 1: calls may come many at once, and a small instance gets one or
	// two a second of a service, so that time alone says too little.
	needRise = 150 * time.Millisecond
	needStep = 0.1
	needJump = 0.5
	// needFall is the time in which the need falls to 37 %. Demand comes in bursts, and a need that fell within one would
	// have to rise again in the next.
	needFall = 2 * time.Second
	// idleUtilization and fullUtilization are the mean utilizations of a domain's servers up to which it takes every call,
	// and from which it takes none. At 1 one more call slows its server's other calls; the rest is left to the domain's own
	// calls.
	idleUtilization = 0.5
	fullUtilization = 0.9
	// reportSmoothing is the least weight of a new report in a mean, and reportMemory the time after which the old mean
	// counts for 37 %. The first is low because one server says little of its domain.
	reportSmoothing = 0.15
	reportMemory    = time.Second
	// maxCredit is the number of calls that may cross at once after calls that did not.
	maxCredit = 3
	// waitCredit is the time in which calls that wait get the credit of one call that arrives.
	waitCredit = 200 * time.Millisecond
	// checkCost is what a status check in another domain costs, relative to a call. One that crosses includes its checks.
	checkCost = 0.25
	// smallBytes is the size up to which a call is small. For larger ones credit is kept for small calls: largeReserve
	// for one of largeBytes or more.
	smallBytes   = 4 * kilobyte
	largeBytes   = 64 * kilobyte
	largeReserve = 1.0
	// minHope is the least part of the attempts at home that is expected to succeed.
	minHope = 0.05
	// silentAttempts is the number of attempts in succession after which a home domain without a reply counts as out,
	// and probeInterval the interval at which one call then tries it again.
	silentAttempts = 2
	probeInterval  = 500 * time.Millisecond
)

// UsualSlowdown is the slowdown of servers of which nothing is known: half of their slots are in use.
const UsualSlowdown = 1.125

// HomeResult is what an attempt to pick a server in the home domain found.
type HomeResult int

// Results of an attempt at home.
const (
	// HomeRoom means that a server is acceptable.
	HomeRoom HomeResult = iota
	// HomeFull means that servers replied or are known to be full, and none is acceptable.
	HomeFull
	// HomeSilent means that no server replied.
	HomeSilent
)

// Controller bounds the share of the calls of one service that leave the home domain, at one instance. What it knows of
// the other domains are the load reports of their servers, which contain the calls of all instances. It is not safe for
// concurrent use.
type Controller struct {
	// need is the part of the calls that found no room at home, at needAt. It rises quickly and falls slowly.
	need   float64
	needAt time.Time
	// credit is the number of calls that may cross now.
	credit  float64
	domains map[ident.DomainName]*domainLoad
	// silent is the number of attempts in succession without a reply, and probeAt the time of the next probe after that.
	silent  int
	probeAt time.Time
}

// domainLoad holds the means of the reports of a domain's servers.
type domainLoad struct {
	utilization, slowdown float64
	at                    time.Time
}

// NewController returns a controller of which the first calls without room at home may cross.
func NewController() *Controller {
	return &Controller{credit: 1, domains: make(map[ident.DomainName]*domainLoad)}
}

// Clone returns a copy, whose changes do not affect c.
func (c *Controller) Clone() *Controller {
	out := *c
	out.domains = make(map[ident.DomainName]*domainLoad, len(c.domains))
	for d, l := range c.domains {
		copied := *l
		out.domains[d] = &copied
	}
	return &out
}

// Report records the load report of a server in another domain.
func (c *Controller) Report(d ident.DomainName, utilization, slowdown float64, now time.Time) {
	l, ok := c.domains[d]
	if !ok {
		c.domains[d] = &domainLoad{utilization: utilization, slowdown: slowdown, at: now}
		return
	}
	w := max(reportSmoothing, 1-math.Exp(-float64(max(0, now.Sub(l.at)))/float64(reportMemory)))
	l.utilization += w * (utilization - l.utilization)
	l.slowdown += w * (slowdown - l.slowdown)
	l.at = now
}

// Retain forgets the domains that are not among the keys.
func (c *Controller) Retain(ds map[ident.DomainName]int) {
	for d := range c.domains {
		if _, ok := ds[d]; !ok {
			delete(c.domains, d)
		}
	}
}

// Room returns the part of the calls in want of a server that the domain can take, from 0 to 1. A domain of which nothing
// was heard for some time is asked again, since its reports are the only way to learn of room.
func (c *Controller) Room(d ident.DomainName, now time.Time) float64 {
	l, ok := c.domains[d]
	if !ok {
		return 1
	}
	room := min(1, max(0, (fullUtilization-l.utilization)/(fullUtilization-idleUtilization)))
	// What is not known any more counts as room, up to a half.
	age := 1 - math.Exp(-float64(max(0, now.Sub(l.at)))/float64(reportMemory))
	return max(room, min(0.5, age*age))
}

// Slowdown returns the usual slowdown at the domain's servers.
func (c *Controller) Slowdown(d ident.DomainName) float64 {
	if l, ok := c.domains[d]; ok {
		return l.slowdown
	}
	return UsualSlowdown
}

// Away returns what is known of the domains with the given numbers of servers, for a call of the size.
func (c *Controller) Away(servers map[ident.DomainName]int, size ident.Bytes, now time.Time) Away {
	var a Away
	for d, n := range servers {
		a.Servers += n
		a.Room += float64(n) * c.Room(d, now)
		a.Slowdown += float64(n) * c.Slowdown(d)
	}
	if a.Servers > 0 {
		a.Room /= float64(a.Servers)
		a.Slowdown /= float64(a.Servers)
	}
	a.Allowed = c.credit >= 1+reserve(size)
	return a
}

// reserve returns the credit that a call of the size must leave to smaller ones.
func reserve(size ident.Bytes) float64 {
	if size <= smallBytes {
		return 0
	}
	return largeReserve * min(1, float64(size-smallBytes)/float64(largeBytes-smallBytes))
}

// Need returns the part of the calls that found no room at home.
func (c *Controller) Need(now time.Time) float64 {
	return c.need * math.Exp(-float64(max(0, now.Sub(c.needAt)))/float64(needFall))
}

// Share returns the share of the calls that may cross. room is Away.Room.
func (c *Controller) Share(room float64, now time.Time) float64 { return c.Need(now) * room }

// HomeWait returns the expected time until an attempt at home succeeds after one that did not, with attempts at the
// interval. It is asked before the attempt itself is recorded, so that a call that fails by chance waits for its next one. A
// call that has waited for some time is expected to wait as long again.
func (c *Controller) HomeWait(interval, waited time.Duration, now time.Time) time.Duration {
	return max(waited, scale(interval, 1/max(minHope, 1-c.Need(now))))
}

// Arrive records the first attempt of a call at home, and room is Away.Room.
func (c *Controller) Arrive(r HomeResult, room float64, now time.Time) {
	least := needStep
	if r == HomeRoom {
		least = 0
	}
	c.record(r, least, 1, room, now)
}

// Wait records another attempt at home of a call that waits. An instance with few calls would not learn in time from
// arrivals alone that home is short, and a call that waits would get no credit.
func (c *Controller) Wait(r HomeResult, room float64, now time.Time) {
	c.record(r, 0, min(1, float64(max(0, now.Sub(c.needAt)))/float64(waitCredit)), room, now)
}

// record lets the need rise by at least the given part of the way to 1 if there was no room, and adds the credit of the
// number of calls.
func (c *Controller) record(r HomeResult, least, calls, room float64, now time.Time) {
	need := c.Need(now)
	if r != HomeRoom {
		rise := 1 - math.Exp(-float64(max(0, now.Sub(c.needAt)))/float64(needRise))
		need += min(needJump, max(least, rise)) * (1 - need)
	}
	c.need, c.needAt = need, now
	c.credit = min(maxCredit, c.credit+calls*need*room)
}

// Attempt records the result of every attempt at home.
func (c *Controller) Attempt(r HomeResult, now time.Time) {
	if r != HomeSilent {
		c.silent = 0
		return
	}
	if c.silent++; c.silent >= silentAttempts {
		c.probeAt = now.Add(probeInterval)
	}
}

// HomeOut reports whether the home domain is silent, so that calls go elsewhere without an attempt there.
func (c *Controller) HomeOut(now time.Time) bool {
	return c.silent >= silentAttempts && now.Before(c.probeAt)
}

// Probe reports whether a call tries the home domain first. While the domain is silent one call in probeInterval does.
func (c *Controller) Probe(now time.Time) bool {
	if c.HomeOut(now) {
		return false
	}
	if c.silent >= silentAttempts {
		c.probeAt = now.Add(probeInterval)
	}
	return true
}

// NoHome records a call while the home domain has no server that replies. Such calls cross without credit. The share falls
// slowly after the domain's return, when its servers are cold.
func (c *Controller) NoHome(now time.Time) { c.need, c.needAt = 1, now }

// Spend records an attempt in other domains with the number of status checks there, and whether the call crossed.
func (c *Controller) Spend(checks int, crossed bool) {
	cost := checkCost * float64(checks)
	if crossed {
		cost = max(1, cost)
	}
	c.credit = max(0, c.credit-cost)
}
