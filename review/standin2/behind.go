package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// behind plays requesters that send safe requests ahead, and servers of which two break off answers within the body. It returns the
// number of requests from kept connections that a sound server ran and whose connections the system closed without an answer, if
// these are so many that the rule is broken, and 0 otherwise.
func behind(dir string, rec *record, trouble bool) int {
	const service, seconds, conns, long, work = "huvo11a", 20, 12, 1500000, 200
	const allowed = 3
	st := newStore()
	rs := &runs{answers: map[string]int{}}
	faulty := map[string]bool{}
	for i := range 8 {
		s := newServer(fmt.Sprintf("i-%d", i), service, "luz-a", 4, rs)
		if trouble && i < 4 {
			s.BrokenBodies = 0.05
		}
		faulty[s.ID] = i < 4
		st.Put("servers", s.ID, s.Entry())
	}
	putConfig(st, 7, service, 1500)
	n := newNode(dir, "front-luz-a-1", "luz-a", st, nodeOptions{Contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "platform"}})
	defer n.Kill()
	if !n.AwaitReady(10 * time.Second) {
		return -1
	}
	var mu sync.Mutex
	sent, whole, early := 0, 0, 0
	var unanswered []string
	stop := time.Now().Add(seconds * time.Second)
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() {
			for time.Now().Before(stop) {
				nc, err := net.DialTimeout("tcp", n.Front, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				br := bufio.NewReader(nc)
				kept := false
				for open := true; open && time.Now().Before(stop); {
					batch := []*request{{ID: newID(), Method: "GET", Target: "/s/2f", Plan: fmt.Sprintf("ms=10,size=%d", long), Resp: long, DeadlineMs: 1500}}
					for range 3 {
						batch = append(batch, &request{ID: newID(), Method: "GET", Target: "/s/2f", Plan: fmt.Sprintf("ms=%d", work), Resp: 400, DeadlineMs: 1500})
					}
					_ = nc.SetDeadline(time.Now().Add(4 * time.Second))
					for _, x := range batch {
						_, _ = nc.Write(x.encode())
					}
					for i, x := range batch {
						a := answer{Err: net.ErrClosed}
						if open {
							a = readAnswer(br, x.Method)
						}
						mu.Lock()
						sent++
						verdict := "answered"
						switch {
						case a.Err == nil:
							whole++
						case i == 0:
							early, verdict = early+1, "broke off"
						case kept:
							unanswered, verdict = append(unanswered, x.ID), "NO ANSWER"
						default:
							verdict = "no answer, on a new connection"
						}
						mu.Unlock()
						rec.printf("sent %s %s %s, number %d of its batch | status %d, %d bytes, err %v | %s", x.ID, x.Method, x.Target, i, a.Status, len(a.Body), a.Err, verdict)
						open = open && a.Err == nil && !a.Close
					}
					kept = true
				}
				nc.Close()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	sound := map[string]bool{}
	for _, r := range rs.all() {
		rec.printf("ran %s at %s, %s %s", r.ID, r.Server, r.Method, r.Target)
		sound[r.ID] = sound[r.ID] || !faulty[r.Server]
	}
	lost := 0
	for _, id := range unanswered {
		if sound[id] {
			lost++
			rec.printf("LOST %s: a sound server ran it, and its connection was closed without an answer", id)
		}
	}
	rec.sum("LOST: %d requests, %d whole answers, %d long answers that broke off; without an answer on kept connections %d, of which sound servers ran %d; process running: %v", sent, whole, early, len(unanswered), lost, n.Running())
	if whole == 0 {
		return -1
	}
	if lost > allowed {
		return lost
	}
	return 0
}
