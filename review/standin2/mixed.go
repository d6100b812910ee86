package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// mixed plays servers of which two break off answers within the head and then answer with a failure. It returns the number of
// successes that a requester got although the server had answered with a failure, or with a body that is not the server's.
func mixed(dir string, rec *record, trouble bool) int {
	const service, seconds = "huvo11a", 20
	st := newStore()
	rs := &runs{answers: map[string]int{}}
	for i := range 4 {
		s := newServer(fmt.Sprintf("i-%d", i), service, "luz-a", 4, rs)
		if trouble && i < 2 {
			s.BrokenHeads = 0.03
		}
		st.Put("servers", s.ID, s.Entry())
	}
	putConfig(st, 7, service, 1000)
	n := newNode(dir, "front-luz-a-1", "luz-a", st, nodeOptions{})
	defer n.Kill()
	if !n.AwaitReady(10 * time.Second) {
		return -1
	}
	var mu sync.Mutex
	sent, ok, broken, failures := 0, 0, 0, 0
	stop := time.Now().Add(seconds * time.Second)
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				x := &request{ID: newID(), Method: "GET", Target: "/s/2f", Plan: "ms=10", Resp: 400, DeadlineMs: 1000}
				if w%2 == 0 {
					x.Unsafe, x.Method, x.Target, x.Size = true, "POST", "/u/2f", 1000
				}
				a := do(n.Front, x.encode(), x.Method, 2*time.Second)
				mu.Lock()
				sent++
				verdict := "held"
				success := a.Err == nil && a.Status >= 200 && a.Status < 300
				switch {
				case success && (rs.answered(x.ID) != 200 || a.ID != x.ID || a.Signature == "" || !bytes.Equal(a.Body, answerBody(x.ID, x.Resp))):
					verdict = "BROKEN"
					broken++
				case success:
					ok++
				case rs.answered(x.ID) == 500:
					failures++
				}
				mu.Unlock()
				rec.printf("sent %s %s %s | answered %d, %d bytes %.20q, err %v | the server's whole answer: %d | %s", x.ID, x.Method, x.Target, a.Status, len(a.Body), a.Body, a.Err, rs.answered(x.ID), verdict)
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for _, r := range rs.all() {
		rec.printf("ran %s at %s, %s %s", r.ID, r.Server, r.Method, r.Target)
	}
	rec.sum("MIXED: %d requests, %d whole successes, %d failures passed on as failures, %d failures that arrived as successes; process running: %v", sent, ok, failures, broken, n.Running())
	if ok == 0 {
		return -1
	}
	return broken
}
