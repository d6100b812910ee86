package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server worked on.
type run struct {
	Server, ID, Method, Target, Digest string
	Size                               int
	At                                 time.Time
}

// runs collects the runs of all servers.
type runs struct {
	mu   sync.Mutex
	list []run
	// answers holds the status of the last whole answer to each request.
	answers map[string]int
}

func (r *runs) answer(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
}

// answered returns the status of the last whole answer to a request, 0 if there is none.
func (r *runs) answered(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[id]
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// Server is a stand-in for a server. A request's header Plan says what it does.
type Server struct {
	ID, Service, Zone string
	Slots             int
	ln                net.Listener
	runs              *runs
	mu                sync.Mutex
	running           int
	// BrokenHeads is the share of the answers that break off within the head and are followed by a failure of the same request.
	BrokenHeads float64
	// BrokenBodies is the share of the answers that break off within the body, with a reset.
	BrokenBodies float64
}

func newServer(id, service, zone string, slots int, rs *runs) *Server {
	s := &Server{ID: id, Service: service, Zone: zone, Slots: slots, ln: listen(), runs: rs}
	go s.accept()
	return s
}

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(nc)
	}
}

// Entry is the server's entry in the store.
func (s *Server) Entry() map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.ln.Addr().String(), "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": "ready", "warmupLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", s.running, s.Slots)
}

func (s *Server) enter(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	return s.running
}

// answerBody returns the body that belongs to a request id.
func answerBody(id string, size int) []byte {
	h := sha256.Sum256([]byte(id))
	pat := hex.EncodeToString(h[:])
	return []byte(strings.Repeat(pat, size/len(pat)+1)[:size])
}

func digest(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:8])
}

// plan is what a request asks of the server, for tests: k=v separated by commas.
type plan map[string]string

func parsePlan(v string) plan {
	p := plan{}
	for _, f := range strings.Split(v, ",") {
		k, x, _ := strings.Cut(f, "=")
		p[strings.TrimSpace(k)] = x
	}
	return p
}

func (p plan) num(k string, d int) int {
	if n, err := strconv.Atoi(p[k]); err == nil {
		return n
	}
	return d
}

func (s *Server) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Goldcreststand-Instance-Id: %s\r\nX-Goldcreststand-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", s.ID, s.load())
			continue
		}
		if !s.handle(nc, br, req) {
			return
		}
	}
}

func (s *Server) handle(nc net.Conn, br *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Goldcreststand-Request-Id")
	p := parsePlan(req.Header.Get("Plan"))
	if t := req.Header.Get("X-Goldcreststand-Target-Instance"); t != "" && t != s.ID {
		fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Goldcreststand-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", s.ID)
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if n := s.enter(1); n > s.Slots+8 {
		s.enter(-1)
		fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Goldcreststand-Request-Id: %s\r\nX-Goldcreststand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	defer s.enter(-1)
	s.runs.add(run{s.ID, id, req.Method, req.RequestURI, digest(body), len(body), time.Now()})
	time.Sleep(time.Duration(p.num("ms", 5)) * time.Millisecond)
	return s.write(nc, id, p)
}

// write writes the answer, and reports whether the connection may be kept.
func (s *Server) write(nc net.Conn, id string, p plan) bool {
	body := answerBody(id, p.num("size", 400))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Goldcreststand-Request-Id: %s\r\nX-Goldcreststand-Response-Signature: %s\r\nX-Goldcreststand-Server-Load: %s", id, digest(body), s.load())
	if rand.Float64() < s.BrokenHeads {
		// The answer breaks off before the end of its head, and the server answers the request with a failure.
		s.runs.answer(id, 500)
		fmt.Fprint(nc, head)
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(nc, "HTTP/1.1 500 Internal Server Error\r\nX-Goldcreststand-Request-Id: %s\r\nContent-Length: 7\r\n\r\nfailed\n", id)
		return true
	}
	if rand.Float64() < s.BrokenBodies {
		fmt.Fprintf(nc, "%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body[:len(body)*9/10])
		time.Sleep(20 * time.Millisecond)
		_ = nc.(*net.TCPConn).SetLinger(0)
		return false
	}
	s.runs.answer(id, 200)
	_, err := fmt.Fprintf(nc, "%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}
