package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// eraEvacuation evacuates a zone after the drill. In the lost seconds another zone was evacuated for a while.
func eraEvacuation(s *system) (int, string) {
	if !startDeployment(s, config(1, rule{"/desk/", "inventory", "safe"})) {
		return notRun, "the deployment did not start"
	}
	time.Sleep(5 * time.Second)
	kept := s.st.takeCopy()
	time.Sleep(500 * time.Millisecond)
	s.logf("operator: the evacuation of luz-b is confirmed at revision %d", s.st.put("evacuations", "luz-b", map[string]any{}))
	time.Sleep(5 * time.Second)
	s.logf("operator: the evacuation of luz-b is taken back at revision %d", s.st.remove("evacuations", "luz-b"))
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		s.st.away.Store(true)
		s.logf("store: away at revision %d", s.st.revision())
		s.st.close()
		time.Sleep(awayTime)
		s.st.restore(kept)
		if err := s.st.listen(); err != nil {
			return notRun, err.Error()
		}
		s.st.away.Store(false)
		s.logf("store: back at revision %d", s.st.revision())
	}
	time.Sleep(calmTime)
	rev := s.st.put("evacuations", "luz-a", map[string]any{})
	confirmed := time.Now()
	s.logf("operator: the evacuation of luz-a is confirmed at revision %d", rev)
	var mu sync.Mutex
	late, bad := 0, map[string]int{}
	last := time.Duration(0)
	each(s, watchTime, 100*time.Millisecond, func(m *machine) {
		a := s.send(m, http.MethodGet, "desk.example", "/desk/1", time.Second)
		after := a.sent.Sub(confirmed)
		s.logf("client: %s GET /desk/ by %s, %.2f s after the confirmation: %d %v", a.id, m.name, after.Seconds(), a.status, a.err)
		mu.Lock()
		defer mu.Unlock()
		if after <= evacTime {
			return
		}
		late++
		for _, b := range s.ranAt(a.id) {
			if b.zone == "luz-a" {
				bad[m.name]++
				last = max(last, after)
			}
		}
	})
	n := 0
	for _, k := range bad {
		n += k
	}
	summary := fmt.Sprintf("%d of %d requests that were sent later than %v after the confirmation ran in the evacuated zone, the last one %.1f s after it, by machines %v",
		n, late, evacTime, last.Seconds(), bad)
	if n > 0 {
		return broken, summary
	}
	return held, summary
}
