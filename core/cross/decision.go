// Package cross decides which calls leave the failure domain of their instance, the home domain. Traffic between domains
// is slower and costs money, but the servers of a domain are sometimes too few. Decide judges one call, and Controller
// bounds the share of the calls that may leave.
package cross

import (
	"time"

	"goldcreststand.example/core/ident"
)

const (
	// RoundTrip is the additional duration of a call to another failure domain. The delay between domains is 0.5 to
	// 1.4 ms in each direction.
	RoundTrip = 3 * time.Millisecond
	// DefaultBytePrice is the price of the bytes between domains unless an operator sets another one. A kilobyte occupies
	// the 10 Mbit/s link of a small instance for 0.8 ms, in which other calls wait: callers lose about 1 ms for each.
	DefaultBytePrice BytePrice = BytePrice(time.Millisecond)
	// margin is the least gain for which a call crosses: the time until its next attempt at home. A call that finds the few
	// servers which it checked busy by chance mostly succeeds then.
	margin   = 10 * time.Millisecond
	kilobyte = 1024
)

// BytePrice is the caller's time that one kilobyte between failure domains is worth.
type BytePrice time.Duration

// of returns the price of the bytes.
func (p BytePrice) of(n ident.Bytes) time.Duration {
	return time.Duration(float64(p) * float64(n) / kilobyte)
}

// Call is what is known of a call that looks for a server.
type Call struct {
	// Work is the expected duration at an idle server at normal speed.
	Work time.Duration
	// TargetLatency is the latency up to which a response has its full value, TargetLeft what is left of it, and
	// DeadlineLeft the time until the caller gives up.
	TargetLatency, TargetLeft, DeadlineLeft time.Duration
	// Bytes is the size of the request's body and the expected size of the response's.
	Bytes ident.Bytes
}

// Home is what is known of the servers of the home domain.
type Home struct {
	// Servers is the number of servers, and Out reports that none of them replies.
	Servers int
	Out     bool
	// Acceptable reports that a server has room and is expected to respond in time.
	Acceptable bool
	// Wait is the expected time until a server takes the call, and Slowdown the expected duration there, relative to Work.
	Wait     time.Duration
	Slowdown float64
}

// Away is what is known of the servers of the other domains.
type Away struct {
	Servers int
	// Slowdown is the usual duration at their servers, relative to Work.
	Slowdown float64
	// Room is the part of the calls in want of a server that they can take, from 0 to 1.
	Room float64
	// Allowed reports that the share of the calls that may cross has room for the call.
	Allowed bool
}

// Decision says whether a call may use servers of other domains, and why.
type Decision struct {
	Cross  bool
	Reason Reason
	// HomeTime and AwayTime are the expected times until the response, and Price what the bytes are worth.
	HomeTime, AwayTime, Price time.Duration
}

// Decide decides whether a call may use servers of other domains.
func Decide(c Call, h Home, a Away, p BytePrice) Decision {
	d := Decision{
		HomeTime: h.Wait + scale(c.Work, h.Slowdown), AwayTime: RoundTrip + scale(c.Work, a.Slowdown), Price: p.of(c.Bytes),
	}
	d.Reason = reason(c, h, a, d)
	d.Cross = d.Reason.crosses()
	return d
}

func reason(c Call, h Home, a Away, d Decision) Reason {
	switch {
	case a.Servers == 0:
		return ReasonNoRemote
	case h.Servers == 0:
		return ReasonNoHome
	case h.Out:
		return ReasonHomeSilent
	case h.Acceptable:
		return ReasonHomeRoom
	}
	want := gain(c, d)
	switch {
	case want == ReasonHomeFaster:
		return want
	case a.Room <= 0:
		return ReasonNeighboursLoaded
	case !a.Allowed:
		return ReasonShareUsed
	default:
		return want
	}
}

// gain returns why a call gains by crossing, or ReasonHomeFaster. A late response is worth a tenth of one in time, so that
// a call which meets its target only elsewhere crosses unless its bytes are worth more than the whole target latency. One
// that only another domain can serve before its deadline crosses too.
func gain(c Call, d Decision) Reason {
	switch {
	case d.HomeTime > c.TargetLeft && d.AwayTime <= c.TargetLeft && d.Price <= c.TargetLatency:
		return ReasonTarget
	case d.HomeTime > c.DeadlineLeft && d.AwayTime <= c.DeadlineLeft:
		return ReasonDeadline
	case d.HomeTime > d.AwayTime+d.Price+margin:
		return ReasonFaster
	default:
		return ReasonHomeFaster
	}
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
