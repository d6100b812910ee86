package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is to which the store returns, and awayTime how long the store is away before.
	copyAge  = 6 * time.Second
	awayTime = 500 * time.Millisecond
	// calmTime is the time after the store's return at which the change is made: the core is stable again.
	calmTime = contact + time.Second
	// watchTime is the time for which clients call after the change.
	watchTime = 14 * time.Second
)

// startDeployment starts six machines and six servers in two zones, and waits until they serve.
func startDeployment(s *system, first map[string]any) bool {
	s.st.put("config", "main", first)
	for i := range 6 {
		service, zone := "inventory", "luz-a"
		if i >= 3 {
			service = "dispatch"
		}
		if i%3 == 2 {
			zone = "luz-b"
		}
		b, err := startBackend(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zone, s.ip(30+i), s.st, beatTime, s.onRun)
		if err != nil {
			s.logf("server: %v", err)
			return false
		}
		s.backends = append(s.backends, b)
	}
	for i := range 6 {
		s.addMachine(i, []string{"luz-a", "luz-b"}[i%2])
	}
	for _, m := range s.machines {
		if err := s.startProcess(m, true); err != nil {
			s.logf("%s: %v", m.name, err)
			return false
		}
	}
	return s.awaitReady(s.machines...)
}

// drill takes a copy of the store, lets the operator change the configuration a few times, and sets the store back to the copy. Then
// the operator and the servers write again what they wrote since.
func drill(s *system, last map[string]any, change func(n int) map[string]any) {
	kept := s.st.takeCopy()
	s.logf("store: a copy is taken at revision %d", kept.rev)
	for n := range 5 {
		time.Sleep(copyAge / 6)
		last = change(n)
		s.logf("operator: config %v is confirmed at revision %d", last["version"], s.st.put("config", "main", last))
	}
	time.Sleep(copyAge / 6)
	if !s.trouble {
		return
	}
	s.logf("store: away at revision %d", s.st.revision())
	s.st.away.Store(true)
	s.st.close()
	time.Sleep(awayTime)
	s.st.restore(kept)
	if err := s.st.listen(); err != nil {
		s.logf("store: %v", err)
	}
	s.st.away.Store(false)
	s.logf("store: back at revision %d", s.st.revision())
	s.logf("operator: config %v is written again at revision %d", last["version"], s.st.put("config", "main", last))
}

// each calls f for every machine at the interval, until the time has passed.
func each(s *system, d, interval time.Duration, f func(m *machine)) {
	var wg sync.WaitGroup
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(interval) {
		for _, m := range s.machines {
			wg.Go(func() { f(m) })
		}
	}
	wg.Wait()
}

func eraConfig(s *system) (int, string) {
	at := func(v int) map[string]any {
		return config(v, rule{"/desk/", "inventory", "safe"}, rule{"/old/", "inventory", "unsafe"})
	}
	if !startDeployment(s, at(1)) {
		return notRun, "the deployment did not start"
	}
	time.Sleep(5 * time.Second)
	drill(s, at(1), func(n int) map[string]any { return at(2 + n) })
	time.Sleep(calmTime)
	rev := s.st.put("config", "main", config(7, rule{"/desk/", "dispatch", "safe"}, rule{"/new/", "dispatch", "unsafe"}))
	confirmed := time.Now()
	s.logf("operator: config 00000007 is confirmed at revision %d: /desk/ moves to dispatch, /old/ is dropped, /new/ is added", rev)
	var mu sync.Mutex
	late, old := map[string]int{}, map[string]int{}
	count, last := 0, time.Duration(0)
	each(s, watchTime, 200*time.Millisecond, func(m *machine) {
		for _, c := range []struct{ method, path string }{{"GET", "/desk/"}, {"POST", "/old/"}, {"POST", "/new/"}} {
			a := s.send(m, c.method, "desk.example", c.path+"1", time.Second)
			after := a.sent.Sub(confirmed)
			wrong := c.path == "/desk/" && strings.Contains(a.body, "inventory") || c.path == "/old/" && a.status == 200 || c.path == "/new/" && a.status == 404
			s.logf("client: %s %s %s by %s, %.2f s after the confirmation: %d %q %v", a.id, c.method, c.path, m.name, after.Seconds(), a.status, a.body, a.err)
			mu.Lock()
			if after > configApply {
				late[m.name]++
				count++
				if wrong {
					old[m.name]++
					last = max(last, after)
				}
			}
			mu.Unlock()
		}
	})
	bad := 0
	for _, n := range old {
		bad += n
	}
	summary := fmt.Sprintf("%d of %d requests sent later than %v after the confirmation were handled as only an older version allows, the last one %.1f s after it, by machines %v",
		bad, count, configApply, last.Seconds(), old)
	if bad > 0 {
		return broken, summary
	}
	return held, summary
}
