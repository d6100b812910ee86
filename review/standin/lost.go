package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// duration is the time of the rollout, and lateBy the time after which the write with the lost answer is done.
const (
	duration = 12 * time.Second
	lateBy   = 1200 * time.Millisecond
)

// lostAnswer loses the answer to the write that reports a good rollout as completed. The write is done a little later.
func lostAnswer(d *deployment, trouble bool) (bool, error) {
	st, err := newStore(d.rec, d.storeAddr)
	if err != nil {
		return false, err
	}
	rs := newRuns()
	const a, b = "huvo11a", "wuno96b"
	for k, s := range []string{a, b} {
		if _, err := startServers(d, st, rs, s, "v1", 64+k, 12, 3, 30*time.Millisecond, none); err != nil {
			return false, err
		}
	}
	look := rule{name: "r-look", kind: "safe", prefix: "/lohu930/", service: a, priority: 2, target: 250 * time.Millisecond, timeout: 1200 * time.Millisecond}
	added := rule{name: "r-added", kind: "safe", prefix: "/pufi791/", service: b, priority: 2, target: 250 * time.Millisecond, timeout: 1200 * time.Millisecond}
	st.put("config", "main", config(7, []string{a, b}, look))
	for z := range zones {
		if err := d.start(d.add(z, 1)); err != nil {
			return false, err
		}
	}
	if !d.waitReady() {
		return false, errRun{fmt.Errorf("instances are not ready")}
	}
	time.Sleep(5 * time.Second)
	st.put("config", "main", config(9, []string{a, b}, look, added))
	d.rec.say("the operator's version 00000009 is confirmed: it adds the route %s to %s", added.prefix, b)
	time.Sleep(2500 * time.Millisecond)
	q := newRequesters(d, host)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, i := range d.instances {
		q.send(ctx, i, look.method(), look.prefix, look.limit(), 80*time.Millisecond)
		q.send(ctx, i, added.method(), added.prefix, added.limit(), 32*time.Millisecond)
	}
	time.Sleep(2 * time.Second)

	old, ended, lost, err := rollOut(d, st, rs, b, trouble)
	if err != nil {
		return false, err
	}
	var state string
	var at time.Time
	select {
	case x := <-ended:
		state, at = x.state, x.at
	case <-time.After(duration + 12*time.Second):
		return false, errRun{fmt.Errorf("the rollout did not end")}
	}
	d.rec.say("the store holds the state %s, %.3f s after the order", state, at.Sub(old.ordered).Seconds())
	if state == "completed" {
		for _, s := range old.servers {
			s.end()
		}
		d.rec.say("the old servers stop")
	}
	from := at
	if t := lost(); !t.IsZero() {
		// platform_lost lasts up to 4.5 s; the core is stable contactMs after it.
		d.rec.say("the answer to the write of the state completed was lost at %.3f s", t.Sub(d.rec.start).Seconds())
		from = t.Add(4500 * time.Millisecond)
	}
	from = from.Add(contact)
	if state == "rolled_back" {
		return false, errRun{fmt.Errorf("the good version was rolled back")}
	}
	time.Sleep(time.Until(from) + 12*time.Second)
	stop()
	q.wg.Wait()
	return addedRoutesAreServed(d, q, look.prefix, added.prefix, from), nil
}

// oldServers are the servers of the version before the rollout.
type oldServers struct {
	servers []*server
	ordered time.Time
}

// endState is the final state of a rollout.
type endState struct {
	state string
	at    time.Time
}

// rollOut orders a rollout of the service and starts servers of the new version. The answer to the first write of the state
// completed is lost if trouble is set; lost returns the time of that, or zero.
func rollOut(d *deployment, st *store, rs *runs, service string, trouble bool) (old oldServers, ended <-chan endState, lost func() time.Time, err error) {
	ch := make(chan endState, 8)
	st.onStatus = func(_, state string) {
		if state != "running" {
			ch <- endState{state, time.Now()}
		}
	}
	var mu sync.Mutex
	var lostAt time.Time
	st.lose = func(_, path string, o object) time.Duration {
		var s struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(o.Status, &s)
		mu.Lock()
		defer mu.Unlock()
		if !trouble || !lostAt.IsZero() || !strings.HasSuffix(path, "/status") || s.State != "completed" {
			return 0
		}
		lostAt = time.Now()
		return lateBy
	}
	lost = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return lostAt
	}
	// The new servers start alongside the old ones, which are those that stop at the end.
	old.servers = allServers(service)
	old.ordered = st.put("rollouts", service, map[string]any{"service": service, "targetVersion": "v2", "durationS": duration.Seconds()})
	d.rec.say("the operator orders a rollout of %s to v2 within %.0f s", service, duration.Seconds())
	_, err = startServers(d, st, rs, service, "v2", 66, 12, 3, 30*time.Millisecond, none)
	return old, ch, lost, err
}

// addedRoutesAreServed checks the requests that were sent from the given time on, and reports whether the rule was broken.
func addedRoutesAreServed(d *deployment, q *requesters, first, added string, from time.Time) bool {
	type count struct{ sent, served, refused int }
	counts := map[string]*count{first: {}, added: {}}
	for _, x := range q.answers {
		if !x.sent.After(from) {
			continue
		}
		c := counts[x.route]
		c.sent++
		switch {
		case x.status == 200 && x.signed:
			c.served++
		case x.status == 503:
			c.refused++
		}
	}
	share := func(c *count) float64 { return float64(c.served) / float64(max(1, c.sent)) }
	for _, p := range []string{first, added} {
		d.rec.say("in steady state, from %.3f s on: route %s: %d requests, %d served, %d refused with 503", from.Sub(d.rec.start).Seconds(), p, counts[p].sent, counts[p].served, counts[p].refused)
	}
	return counts[added].sent >= 20 && share(counts[added]) < share(counts[first])/4
}
