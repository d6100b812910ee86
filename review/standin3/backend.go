package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in for a server of the users.
type backend struct {
	id, service, zone, addr, version string
	st                               *store
	born                             int64
	seq                              atomic.Int64
	running                          atomic.Int64
	work                             time.Duration
	mu                               sync.Mutex
	state                            string
	stoppedAt                        atomic.Pointer[time.Time]
	done                             chan struct{}
	srv                              *http.Server
	// onRun is called when a request begins to run.
	onRun func(b *backend, r *http.Request)
}

const backendSlots = 4

func startBackend(id, service, zone, ip string, st *store, beat time.Duration, onRun func(*backend, *http.Request)) (*backend, error) {
	return startBackendVersion(id, service, zone, ip, "v1", st, beat, onRun)
}

func startBackendVersion(id, service, zone, ip, version string, st *store, beat time.Duration, onRun func(*backend, *http.Request)) (*backend, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, version: version, addr: ln.Addr().String(), st: st, born: time.Now().UnixMilli(), work: 5 * time.Millisecond, state: "ready", done: make(chan struct{}), onRun: onRun}
	b.srv = &http.Server{Handler: b}
	go func() { _ = b.srv.Serve(ln) }()
	b.beat()
	go func() {
		t := time.NewTicker(beat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.beat()
			case <-b.done:
				return
			}
		}
	}()
	return b, nil
}

// beat writes the server's entry. It does nothing while the store is away or the server reports no more.
func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.st.away.Load() || b.stoppedAt.Load() != nil {
		return
	}
	b.st.put("servers", b.id, map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": b.version, "slots": backendSlots, "state": b.state,
		"warmupLeftMs": 0, "seq": b.seq.Add(1), "born": b.born,
	})
}

// halt stops the server at once. Its entry stays until it expires.
func (b *backend) halt() {
	now := time.Now()
	b.stoppedAt.Store(&now)
	_ = b.srv.Close()
}

// drain reports that the server is leaving. It serves on.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.beat()
}

func (b *backend) stop() {
	close(b.done)
	_ = b.srv.Close()
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Goldcreststand-Server-Load", fmt.Sprintf("%d,0,%d", b.running.Load(), backendSlots))
	if r.URL.Path == "/health" {
		h.Set("X-Goldcreststand-Instance-Id", b.id)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.state == "draining" {
			w.WriteHeader(503)
			return
		}
		w.WriteHeader(200)
		return
	}
	id := r.Header.Get("X-Goldcreststand-Request-Id")
	if t := r.Header.Get("X-Goldcreststand-Target-Instance"); t != "" && t != b.id {
		h.Set("X-Goldcreststand-Instance-Id", b.id)
		h.Set("X-Goldcreststand-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	if id == "" {
		h.Set("X-Goldcreststand-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	h.Set("X-Goldcreststand-Request-Id", id)
	if b.running.Add(1) > backendSlots {
		b.running.Add(-1)
		h.Set("X-Goldcreststand-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer b.running.Add(-1)
	b.onRun(b, r)
	time.Sleep(b.work)
	body := "run by " + b.service
	h.Set("X-Goldcreststand-Response-Signature", b.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(200)
	_, _ = w.Write([]byte(body))
}
