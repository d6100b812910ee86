package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// startServers starts servers of a service, in turn in the zones.
func startServers(d *deployment, st *store, rs *runs, service, version string, group, n, slots int, work time.Duration, failPrefix string) ([]*server, error) {
	var out []*server
	for k := range n {
		z := k % len(zones)
		s, err := startServer(d.rec, rs, st, &server{
			id: fmt.Sprintf("i-%s-%s-%02d", service, version, k), service: service, version: version, zone: zones[z],
			address: d.addr(zoneIP(z, group, 1+k/len(zones)), "server"), slots: slots, work: work, failShare: failShare, failPrefix: failPrefix,
		})
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// silentConnections moves a route to another service just after the open connections to the store went silent.
func silentConnections(d *deployment, trouble bool) (bool, error) {
	st, err := newStore(d.rec, d.storeAddr)
	if err != nil {
		return false, err
	}
	rs := newRuns()
	const a, b = "huvo11a", "wuno96b"
	for k, s := range []string{a, b} {
		if _, err := startServers(d, st, rs, s, "v1", 64+k, 8, 3, 40*time.Millisecond, none); err != nil {
			return false, err
		}
	}
	look := rule{name: "r-look", kind: "safe", prefix: "/lohu930/", service: a, priority: 2, target: 250 * time.Millisecond, timeout: 1200 * time.Millisecond}
	register := rule{name: "r-register", kind: "unsafe", prefix: "/pufi791/", service: a, priority: 1, target: 300 * time.Millisecond, timeout: 800 * time.Millisecond}
	st.put("config", "main", config(7, []string{a, b}, look, register))
	for z := range zones {
		i := d.add(z, 1)
		if err := d.start(i); err != nil {
			return false, err
		}
		time.Sleep(80 * time.Millisecond)
	}
	if !d.waitReady() {
		return false, errRun{fmt.Errorf("instances are not ready")}
	}
	q := newRequesters(d, host)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	time.Sleep(5 * time.Second)
	for _, i := range d.instances {
		q.send(ctx, i, look.method(), look.prefix, look.limit(), 50*time.Millisecond)
		q.send(ctx, i, register.method(), register.prefix, register.limit(), 50*time.Millisecond)
	}
	time.Sleep(4*time.Second + time.Duration(rand.IntN(1000))*time.Millisecond)
	silent := time.Now()
	if trouble {
		n, err := st.l.silence()
		if err != nil {
			return false, err
		}
		silent = time.Now()
		d.rec.say("%d open connections to the store go silent", n)
	}
	time.Sleep(500 * time.Millisecond)
	register.service = b
	confirmed := st.put("config", "main", config(9, []string{a, b}, look, register))
	d.rec.say("the operator's version 00000009 is confirmed: %s goes to %s instead of %s", register.prefix, b, a)
	time.Sleep(7 * time.Second)
	stop()
	q.wg.Wait()

	due := confirmed.Add(configApply)
	if touch := silent.Add(contact); touch.After(due) {
		due = touch
	}
	d.rec.say("bound: requests sent later than %.3f s (2 s after the confirmation and 3 s after the silence)", due.Sub(d.rec.start).Seconds())
	stale, after, last := 0, 0, time.Duration(0)
	perInstance := map[string]int{}
	for _, x := range q.answers {
		if x.route != register.prefix || !x.sent.After(due) {
			continue
		}
		after++
		for _, r := range rs.of(x.id) {
			if r.service == a {
				stale++
				perInstance[x.instance]++
				last = max(last, x.sent.Sub(due))
				d.rec.printf("BROKEN: request %s sent to %s %.3f s after the bound was run by %s of the old service", x.id, x.instance, x.sent.Sub(due).Seconds(), r.server)
			}
		}
	}
	d.rec.say("requests on %s sent after the bound: %d, of these run by the old service: %d (the last one %.3f s after the bound) %v", register.prefix, after, stale, last.Seconds(), perInstance)
	if after < 100 {
		return false, errRun{fmt.Errorf("only %d requests after the bound", after)}
	}
	return stale > 0, nil
}
