package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	rolloutTime  = 12 * time.Second
	recoveryTime = 15 * time.Second
	// drillDelay is the time from the end of the rollout to the drill, killDelay that from the store's return to the kill.
	drillDelay = 3 * time.Second
	killDelay  = 6 * time.Second
	// drainDelay is the time from a rollback to the report that the new servers drain.
	drainDelay = 3 * time.Second
	// serverWork is the time that a server works on a request.
	serverWork = 15 * time.Millisecond
)

// rolloutVersion returns the version in the status of the rollout.
func rolloutVersion(s *system, service string) string {
	o := s.st.get("rollouts", service)
	if o == nil {
		return ""
	}
	status, _ := o["status"].(map[string]any)
	v, _ := status["targetVersion"].(string)
	return v
}

// rolloutState returns the state in the status of the rollout.
func rolloutState(s *system, service string) string {
	o := s.st.get("rollouts", service)
	if o == nil {
		return ""
	}
	status, _ := o["status"].(map[string]any)
	state, _ := status["state"].(string)
	return state
}

// expireEntries removes the entries of servers that have stopped, three heartbeats later, until the returned function is called.
func expireEntries(s *system) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, b := range s.backends {
				if at := b.stoppedAt.Load(); at != nil && time.Since(*at) > 3*beatTime {
					s.st.remove("servers", b.id)
				}
			}
		}
	}()
	return func() { close(done) }
}

// platformActs does what the platform does at the end of a rollout: it stops the old servers, or drains the new ones.
func platformActs(s *system, version string, oldServers, newServers []*backend) (stop func()) {
	done, once := make(chan struct{}), sync.Once{}
	go func() {
		acted := map[string]bool{}
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			state := rolloutState(s, "inventory")
			if acted[state] || rolloutVersion(s, "inventory") != version {
				continue
			}
			acted[state] = true
			switch state {
			case "completed":
				s.logf("platform: the rollout is completed, the old servers stop")
				for _, b := range oldServers {
					b.halt()
				}
			case "rolled_back":
				s.logf("platform: the rollout is rolled back, the new servers drain in %v", drainDelay)
				time.AfterFunc(drainDelay, func() {
					for _, b := range newServers {
						b.drain()
					}
				})
			}
		}
	}()
	return func() { once.Do(func() { close(done) }) }
}

// eraRollout completes a rollout, sets the store back to a copy from before its end, and kills all processes.
func eraRollout(s *system) (int, string) {
	if !startDeployment(s, config(1, rule{"/desk/", "inventory", "safe"})) {
		return notRun, "the deployment did not start"
	}
	defer expireEntries(s)()
	for _, b := range s.backends {
		b.work = serverWork
	}
	time.Sleep(3 * time.Second)
	var served, asked atomic.Int64
	var wg sync.WaitGroup
	end := make(chan struct{})
	for i := range 24 {
		wg.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(100 * time.Millisecond):
				}
				m := s.machines[i%len(s.machines)]
				a := s.send(m, http.MethodGet, "desk.example", "/desk/1", time.Second)
				asked.Add(1)
				if a.status == 200 {
					served.Add(1)
				}
				s.logf("client: %s GET /desk/ by %s: %d %q %v", a.id, m.name, a.status, a.body, a.err)
			}
		})
	}
	defer wg.Wait()
	defer close(end)
	share := func(d time.Duration) float64 {
		n, k := asked.Load(), served.Load()
		time.Sleep(d)
		return float64(served.Load()-k) / float64(max(1, asked.Load()-n))
	}
	oldServers := s.backends[:3]
	var kept copyOfStore
	// A good version may be taken back, at a price. Then the next one is tried.
	for n := 2; rolloutState(s, "inventory") != "completed"; n++ {
		if n > 4 {
			return notRun, "no rollout was completed"
		}
		version := fmt.Sprintf("v%d", n)
		s.logf("operator: a rollout of inventory to %s is ordered at revision %d", version, s.st.put("rollouts", "inventory",
			map[string]any{"service": "inventory", "targetVersion": version, "durationS": rolloutTime.Seconds()}))
		var newServers []*backend
		for i, old := range oldServers {
			b, err := startBackendVersion(fmt.Sprintf("i-%d%07x", n, 0x3a91c0+i), "inventory", old.zone, s.ip(20*n+10+i), version, s.st, beatTime, s.onRun)
			if err != nil {
				return notRun, err.Error()
			}
			b.work = serverWork
			newServers = append(newServers, b)
		}
		s.backends = append(s.backends, newServers...)
		stopActing := platformActs(s, version, oldServers, newServers)
		defer stopActing()
		for until := time.Now().Add(rolloutTime); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			c := s.st.takeCopy()
			if state := rolloutState(s, "inventory"); state == "completed" || state == "rolled_back" && rolloutVersion(s, "inventory") == version {
				break
			}
			kept = c
		}
		if rolloutState(s, "inventory") != "completed" {
			s.logf("the good version %s was taken back", version)
			time.Sleep(drainDelay + time.Second)
			stopActing()
			for _, b := range newServers {
				b.halt()
			}
			time.Sleep(time.Second)
		}
	}
	before := share(drillDelay)
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
		s.logf("store: back at revision %d, the status of the rollout is %q", s.st.revision(), rolloutState(s, "inventory"))
	}
	time.Sleep(killDelay)
	after := share(time.Second)
	s.logf("status of the rollout before the kill: %q", rolloutState(s, "inventory"))
	for _, m := range s.machines {
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.exited
	}
	time.Sleep(time.Second)
	for _, m := range s.machines {
		if err := s.startProcess(m, false); err != nil {
			return notRun, err.Error()
		}
	}
	s.logf("all machines are back")
	time.Sleep(recoveryTime)
	late := share(5 * time.Second)
	summary := fmt.Sprintf("served before the drill %.2f, after it %.2f, and later than %v after all processes were killed and started again %.2f; the rollout, which was completed, is %q",
		before, after, recoveryTime, late, rolloutState(s, "inventory"))
	if before >= 0.25 && late < 0.25 {
		return broken, summary
	}
	return held, summary
}
