package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// failShare is the share of the requests of one route that the bad version fails, and none the prefix of servers that fail
	// no request.
	failShare = 0.5
	none      = "none"
	// drainAfter is the time from the rollback until the servers of the bad version drain.
	drainAfter = 6 * time.Second
	// startAhead is the time for which the servers of the new version are up when it is ordered.
	startAhead = time.Second
	// nextAfter is the time from the rollback until the operator orders the next version.
	nextAfter = 500 * time.Millisecond
	// exposureShare and exposureSlack bound the requests that a bad version gets.
	exposureShare, exposureSlack = 0.1, 50
	// drainTime is the time for which a server serves after it has reported that it drains, and a little longer.
	drainTime = 3 * time.Second
)

// nextOrder orders the next version of a service just after a bad one was rolled back, while the servers of the bad one have
// not drained yet.
func nextOrder(d *deployment, trouble bool) (bool, error) {
	st, err := newStore(d.rec, d.storeAddr)
	if err != nil {
		return false, err
	}
	rs := newRuns()
	const service = "huvo11a"
	if _, err := startServers(d, st, rs, service, "v1", 64, 12, 3, 30*time.Millisecond, none); err != nil {
		return false, err
	}
	register := rule{name: "r-register", kind: "unsafe", prefix: "/pufi791/", service: service, priority: 1, target: 300 * time.Millisecond, timeout: 800 * time.Millisecond}
	badge := rule{name: "r-badge", kind: "unsafe", prefix: "/lohu930/", service: service, priority: 2, target: 300 * time.Millisecond, timeout: 800 * time.Millisecond}
	st.put("config", "main", config(7, []string{service}, register, badge))
	for z := range zones {
		if err := d.start(d.add(z, 1)); err != nil {
			return false, err
		}
	}
	if !d.waitReady() {
		return false, errRun{fmt.Errorf("instances are not ready")}
	}
	time.Sleep(5 * time.Second)
	q := newRequesters(d, host)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, i := range d.instances {
		q.send(ctx, i, register.method(), register.prefix, register.limit(), 18*time.Millisecond)
		q.send(ctx, i, badge.method(), badge.prefix, badge.limit(), 300*time.Millisecond)
	}
	time.Sleep(4 * time.Second)

	ended := make(chan endState, 8)
	st.onStatus = func(_, state string) {
		if state != "running" {
			ended <- endState{state, time.Now()}
		}
	}
	bad, err := startServers(d, st, rs, service, "v2", 65, 12, 3, 30*time.Millisecond, badge.prefix)
	if err != nil {
		return false, err
	}
	time.Sleep(startAhead)
	ordered := st.put("rollouts", service, map[string]any{"service": service, "targetVersion": "v2", "durationS": duration.Seconds()})
	d.rec.say("the operator orders a rollout of %s to v2 within %.0f s; v2 fails %.0f %% of the requests on %s", service, duration.Seconds(), 100*failShare, badge.prefix)
	var back endState
	select {
	case back = <-ended:
	case <-time.After(duration + 2*time.Second):
	}
	if back.state != "rolled_back" {
		return false, errRun{fmt.Errorf("the bad version was not rolled back: %q", back.state)}
	}
	d.rec.say("the store holds the state rolled_back, %.3f s after the order", back.at.Sub(ordered).Seconds())
	if trouble {
		time.Sleep(time.Until(back.at.Add(nextAfter)))
		st.put("rollouts", service, map[string]any{"service": service, "targetVersion": "v3", "durationS": duration.Seconds()})
		d.rec.say("the operator orders a rollout of %s to v3, %.3f s after the rollback", service, time.Since(back.at).Seconds())
		if _, err := startServers(d, st, rs, service, "v3", 66, 12, 3, 30*time.Millisecond, none); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(back.at.Add(drainAfter)))
	for _, s := range bad {
		s.drain()
	}
	d.rec.say("the servers of v2 report draining, %.3f s after the rollback", time.Since(back.at).Seconds())
	time.Sleep(drainTime)
	for _, s := range bad {
		s.end()
	}
	time.Sleep(time.Until(ordered.Add(duration)))
	stop()
	q.wg.Wait()
	return tooExposed(d, rs, service, "v2", ordered, back.at), nil
}

// tooExposed checks the requests that reached the service between the order and its time limit, and reports whether the rule was
// broken.
func tooExposed(d *deployment, rs *runs, service, version string, ordered, back time.Time) bool {
	all, exposed, after := 0, 0, 0
	for _, r := range rs.list {
		if r.service != service || r.at.Before(ordered) || r.at.After(ordered.Add(duration)) {
			continue
		}
		all++
		if r.version != version {
			continue
		}
		exposed++
		if r.at.After(back.Add(time.Second)) {
			after++
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	d.rec.say("between the order of %s and its time limit: %d requests reached the service, %d of them %s; allowed %.0f. Later than 1 s after the rollback: %d", version, all, exposed, version, allowed, after)
	return float64(exposed) > allowed
}
