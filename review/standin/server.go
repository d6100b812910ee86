package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a server.
type run struct {
	id, service, server, version string
	at                           time.Time
}

// runs holds all runs of requests.
type runs struct {
	mu   sync.Mutex
	list []run
	byID map[string][]run
}

func newRuns() *runs { return &runs{byID: make(map[string][]run)} }

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
	r.byID[x.id] = append(r.byID[x.id], x)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// server is a stand-in for a server that tells its load.
type server struct {
	id, service, version, zone, address string
	slots                               int
	// work is the median time that a request takes; its spread is 0.3, as in the site files.
	work time.Duration
	// failShare is the share of the requests on the paths with the prefix that the version fails.
	failShare        float64
	failPrefix       string
	leaving          atomic.Bool
	changed          chan struct{}
	rec              *record
	runs             *runs
	store            *store
	srv              *http.Server
	l                *trackedListener
	busy             chan struct{}
	running, waiting atomic.Int64
	stop             context.CancelFunc
	done             context.Context
}

// started holds the servers that run, by service.
var started = make(map[string][]*server)

// allServers returns the servers of a service that were started.
func allServers(service string) []*server { return append([]*server(nil), started[service]...) }

// maxQueue is the number of requests that a server queues.
const maxQueue = 6

func startServer(rec *record, rs *runs, st *store, s *server) (*server, error) {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.rec, s.runs, s.store = rec, rs, st
	s.busy, s.changed = make(chan struct{}, s.slots), make(chan struct{}, 1)
	s.l = &trackedListener{Listener: ln, conns: make(map[*trackedConn]bool)}
	s.done, s.stop = context.WithCancel(context.Background())
	s.srv = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.srv.Serve(s.l) }()
	go s.beat()
	started[s.service] = append(started[s.service], s)
	return s, nil
}

// beat reports the server to the store: at the start, and then in each status report interval.
func (s *server) beat() {
	born := time.Now().UnixMilli()
	for seq := 1; s.done.Err() == nil; seq++ {
		state := "ready"
		if s.leaving.Load() {
			state = "draining"
		}
		s.store.put("servers", s.id, map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
			"warmupLeftMs": 0, "seq": seq, "born": born,
		})
		select {
		case <-time.After(heartbeat):
		case <-s.changed:
		case <-s.done.Done():
		}
	}
}

// drain reports to the store that the server is leaving. It continues serving.
func (s *server) drain() {
	s.leaving.Store(true)
	s.changed <- struct{}{}
	s.rec.printf("server %s of %s, version %s, reports draining", s.id, s.service, s.version)
}

// end stops the server at once, and removes its entry.
func (s *server) end() {
	s.stop()
	_ = s.srv.Close()
	s.store.remove("servers", s.id)
	s.rec.printf("server %s of %s, version %s, stopped", s.id, s.service, s.version)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	h.Set("X-Goldcreststand-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots))
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("X-Goldcreststand-Instance-Id", s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Goldcreststand-Request-Id")
	h.Set("X-Goldcreststand-Request-Id", id)
	if t := r.Header.Get("X-Goldcreststand-Target-Instance"); t != "" && t != s.id {
		h.Set("X-Goldcreststand-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.waiting.Add(1) > maxQueue {
		s.waiting.Add(-1)
		h.Set("X-Goldcreststand-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.busy <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	defer func() { s.running.Add(-1); <-s.busy }()
	s.runs.add(run{id, s.service, s.id, s.version, time.Now()})
	s.rec.printf("server %s of %s, version %s, runs request %s %s %s", s.id, s.service, s.version, id, r.Method, r.URL.Path)
	select {
	case <-time.After(time.Duration(float64(s.work) * math.Exp(0.3*rand.NormFloat64()))):
	case <-r.Context().Done():
		return
	}
	body := "done " + id + "\n"
	h.Set("X-Goldcreststand-Response-Signature", "sig."+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if strings.HasPrefix(r.URL.Path, s.failPrefix) && rand.Float64() < s.failShare {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, body)
}
