package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// copyShare is the part of its status checks whose answer a faulty server sends a second time.
	copyShare = 0.03
	// queueSize is the number of requests that wait for a slot.
	queueSize = 8
	// healthTime is what a status check costs the server.
	healthTime = time.Millisecond
	loadTime   = 30 * time.Second
	workers    = 80
	// servers is the number of servers, of which faultyServers are faulty.
	servers       = 5
	faultyServers = 3
)

// rawBackend is a server whose status checks wait for a slot, or are rejected, like any other request. It does not tell its load.
type rawBackend struct {
	*backend
	s       *system
	ln      net.Listener
	slots   chan struct{}
	waiting atomic.Int64
	work    time.Duration
	copies  *atomic.Int64
	// faulty servers send some answers twice.
	faulty bool
}

func startRawBackend(s *system, id, zone, ip string, copies *atomic.Int64, faulty bool) (*rawBackend, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	b, err := startBackend(id, "inventory", zone, ip, s.st, beatTime, s.onRun)
	if err != nil {
		return nil, err
	}
	// The entry names the address of the raw listener.
	b.mu.Lock()
	b.addr = ln.Addr().String()
	b.mu.Unlock()
	b.beat()
	r := &rawBackend{backend: b, s: s, ln: ln, slots: make(chan struct{}, backendSlots), work: 15 * time.Millisecond, copies: copies, faulty: faulty}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// admit takes a slot. It reports false if the queue is full.
func (b *rawBackend) admit() bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	if b.waiting.Add(1) > queueSize {
		b.waiting.Add(-1)
		return false
	}
	b.slots <- struct{}{}
	b.waiting.Add(-1)
	return true
}

func (b *rawBackend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	// second is the answer that is sent once more, where the response to the next status check is expected.
	second := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		again := second != "" && r.URL.Path == "/health"
		if again {
			b.s.logf("server %s: sends its earlier answer to a status check once more", b.id)
			b.copies.Add(1)
			_, _ = io.WriteString(c, second)
			second = ""
		}
		answer := b.call
		if r.URL.Path == "/health" {
			answer = b.health
		}
		text := answer(r)
		if again {
			b.s.logf("server %s: then answers %s %s with %q", b.id, r.Method, r.URL.Path, text[9:12])
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if r.URL.Path == "/health" && b.faulty && rand.Float64() < copyShare {
			second = text
		}
	}
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Goldcreststand-Not-Executed: 1\r\n"

func (b *rawBackend) health(*http.Request) string {
	if !b.admit() {
		time.Sleep(healthTime)
		return refusal + "Content-Length: 0\r\n\r\n"
	}
	time.Sleep(healthTime)
	<-b.slots
	return "HTTP/1.1 200 OK\r\nX-Goldcreststand-Instance-Id: " + b.id + "\r\nContent-Length: 0\r\n\r\n"
}

func (b *rawBackend) call(r *http.Request) string {
	id := r.Header.Get("X-Goldcreststand-Request-Id")
	echo := "X-Goldcreststand-Request-Id: " + id + "\r\n"
	switch {
	case r.Header.Get("X-Goldcreststand-Target-Instance") != b.id:
		return "HTTP/1.1 421 Misdirected Request\r\nX-Goldcreststand-Not-Executed: 1\r\n" + echo + "X-Goldcreststand-Instance-Id: " + b.id + "\r\nContent-Length: 0\r\n\r\n"
	case id == "":
		return "HTTP/1.1 400 Bad Request\r\nX-Goldcreststand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	case !b.admit():
		return refusal + echo + "Content-Length: 0\r\n\r\n"
	}
	b.onRun(b.backend, r)
	time.Sleep(b.work)
	<-b.slots
	body := "run by " + b.id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Goldcreststand-Response-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", echo, b.id, id, len(body), body)
}

// lateCopy lets servers send some answers to status checks once more, late, while they have more work than slots.
func lateCopy(s *system) (int, string) {
	s.st.put("config", "main", config(1, rule{"/desk/", "inventory", "unsafe"}))
	var copies atomic.Int64
	for i := range servers {
		b, err := startRawBackend(s, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), []string{"luz-a", "luz-b"}[i%2], s.ip(30+i), &copies, s.trouble && i < faultyServers)
		if err != nil {
			return notRun, err.Error()
		}
		s.backends = append(s.backends, b.backend)
		defer func() { _ = b.ln.Close() }()
	}
	for i := range 4 {
		s.addMachine(i, []string{"luz-a", "luz-b"}[i%2])
	}
	for _, m := range s.machines {
		if err := s.startProcess(m, true); err != nil {
			return notRun, err.Error()
		}
	}
	if !s.awaitReady(s.machines...) {
		return notRun, "the deployment did not start"
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var sent atomic.Int64
	var mu sync.Mutex
	answers := map[string]answer{}
	for i := range workers {
		wg.Go(func() {
			for until := time.Now().Add(loadTime); time.Now().Before(until); {
				a := s.send(s.machines[i%len(s.machines)], http.MethodPost, "desk.example", "/desk/1", time.Second)
				sent.Add(1)
				mu.Lock()
				answers[a.id] = a
				mu.Unlock()
				s.logf("client: %s POST /desk/ by %s: %d %q %v", a.id, s.machines[i%len(s.machines)].name, a.status, a.body, a.err)
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	twice, refused := 0, 0
	statuses := map[int]int{}
	s.mu.Lock()
	for id, a := range answers {
		statuses[a.status]++
		if len(s.runs[id]) > 1 {
			twice++
		}
		if len(s.runs[id]) > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			refused++
		}
	}
	s.mu.Unlock()
	summary := fmt.Sprintf("of %d unsafe requests %d ran twice, and %d ran though they were answered as not run; %d answers to status checks were sent once more; statuses %v",
		sent.Load(), twice, refused, copies.Load(), statuses)
	if twice+refused > 0 {
		return broken, summary
	}
	return held, summary
}
