package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// event is one change in the history of the store.
type event struct {
	rev     int
	kind    string
	name    string
	deleted bool
	obj     map[string]any
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rev     int
	era     int
	objects map[string]map[string]map[string]any
	history []event
	changed chan struct{}
	away    atomic.Bool
	conns   map[net.Conn]bool
	srv     *http.Server
	addr    string
	log     func(string, ...any)
	// hook may answer a call in place of the store. It reports whether it did.
	hook func(w http.ResponseWriter, r *http.Request) bool
}

// copyOfStore is what the store returns to after a drill.
type copyOfStore struct {
	rev     int
	objects map[string]map[string]map[string]any
	history []event
}

func newStore(addr string, log func(string, ...any)) (*store, error) {
	s := &store{rev: 100, era: 1, objects: map[string]map[string]map[string]any{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}, addr: addr, log: log}
	return s, s.listen()
}

func (s *store) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr = ln.Addr().String()
	s.srv = &http.Server{Handler: s, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st == http.StateClosed || st == http.StateHijacked {
			delete(s.conns, c)
		} else {
			s.conns[c] = true
		}
	}}
	go func() { _ = s.srv.Serve(ln) }()
	return nil
}

// close makes the store unreachable: its port refuses connections.
func (s *store) close() { _ = s.srv.Close() }

func clone(v map[string]any) map[string]any {
	b, _ := json.Marshal(v)
	var out map[string]any
	_ = json.Unmarshal(b, &out)
	return out
}

func (s *store) takeCopy() copyOfStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOfStore{rev: s.rev, objects: map[string]map[string]map[string]any{}, history: append([]event(nil), s.history...)}
	for k, m := range s.objects {
		c.objects[k] = map[string]map[string]any{}
		for n, o := range m {
			c.objects[k][n] = clone(o)
		}
	}
	return c
}

// restore sets the store back to the copy.
func (s *store) restore(c copyOfStore) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.objects, s.history = c.rev, c.objects, c.history
	s.era++
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply makes one change and returns its revision. s.mu is locked.
func (s *store) apply(kind, name string, o map[string]any) int {
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]map[string]any{}
	}
	ev := event{rev: s.rev, kind: kind, name: name}
	if o == nil {
		ev.deleted, ev.obj = true, s.objects[kind][name]
		delete(s.objects[kind], name)
	} else {
		o["metadata"].(map[string]any)["revision"] = s.rev
		s.objects[kind][name] = o
		ev.obj = o
	}
	s.history = append(s.history, ev)
	s.notify()
	return s.rev
}

// put writes the spec of an object, as a server or the operator does, and returns the revision.
func (s *store) put(kind, name string, spec any) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(kind, name, s.withSpec(kind, name, spec))
}

func (s *store) withSpec(kind, name string, spec any) map[string]any {
	o := map[string]any{"spec": spec, "status": nil}
	meta := map[string]any{"name": name, "created": s.rev + 1, "finalizers": []any{}, "deleting": false}
	if old := s.objects[kind][name]; old != nil {
		o["status"] = old["status"]
		meta["created"] = old["metadata"].(map[string]any)["created"]
	}
	o["metadata"] = meta
	return o
}

func (s *store) remove(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind][name] == nil {
		return s.rev
	}
	return s.apply(kind, name, nil)
}

func (s *store) get(kind, name string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return clone(o)
	}
	return nil
}

func (s *store) revision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.hook != nil && s.hook(w, r) {
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	rest, ok := strings.CutPrefix(r.URL.Path, "/goldcreststand/objects/")
	if !ok {
		reply(w, 404, map[string]any{})
		return
	}
	parts := strings.Split(rest, "/")
	kind, name, sub := parts[0], "", ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if len(parts) > 2 {
		sub = parts[2]
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		if o := s.get(kind, name); o != nil {
			reply(w, 200, o)
		} else {
			reply(w, 404, map[string]any{})
		}
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name, sub)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	items := []any{}
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		items = append(items, clone(s.objects[kind][n]))
	}
	out := map[string]any{"items": items, "hasMore": false, "asOf": s.rev}
	s.mu.Unlock()
	reply(w, 200, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if from > s.rev || s.era != era {
			s.mu.Unlock()
			reply(w, 410, map[string]any{})
			return
		}
		events := []any{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > from {
				events = append(events, map[string]any{"deleted": e.deleted, "object": clone(e.obj)})
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name, sub string) {
	b, _ := io.ReadAll(r.Body)
	var o map[string]any
	_ = json.Unmarshal(b, &o)
	meta, _ := o["metadata"].(map[string]any)
	if name == "" && meta != nil {
		name, _ = meta["name"].(string)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	s.log("store: %s %s/%s %s", r.Method, kind, name, sub)
	if r.Method == http.MethodPost {
		if old != nil {
			reply(w, 409, clone(old))
			return
		}
		n := s.withSpec(kind, name, o["spec"])
		s.apply(kind, name, n)
		reply(w, 200, clone(n))
		return
	}
	if old == nil {
		reply(w, 404, map[string]any{})
		return
	}
	want := r.URL.Query().Get("revision")
	if f, ok := meta["revision"].(float64); ok {
		want = strconv.Itoa(int(f))
	}
	have := old["metadata"].(map[string]any)["revision"]
	if want != "" && want != strconv.Itoa(toInt(have)) {
		reply(w, 409, clone(old))
		return
	}
	if r.Method == http.MethodDelete {
		s.apply(kind, name, nil)
		reply(w, 200, clone(old))
		return
	}
	n := clone(old)
	if sub == "status" {
		n["status"] = o["status"]
	} else {
		n["spec"] = o["spec"]
	}
	if same(n, old) {
		reply(w, 200, n)
		return
	}
	s.apply(kind, name, n)
	reply(w, 200, clone(n))
}

func same(a, b map[string]any) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return string(x) == string(y)
}

func toInt(v any) int {
	switch v := v.(type) {
	case int:
		return v
	case float64:
		return int(v)
	}
	return 0
}
