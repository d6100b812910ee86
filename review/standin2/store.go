package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: objects by kind and name, one revision counter, watches.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*object
	events  []event
	changed chan struct{}
	// Silent reports whether calls are held without an answer.
	silent bool
	ln     net.Listener
	srv    *http.Server
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	rev     uint64
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

const pageSize = 500

func newStore() *Store {
	ln := listen()
	s := &Store{rev: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{}), ln: ln}
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	return s
}

func (s *Store) Addr() string { return s.ln.Addr().String() }

func (s *Store) SetSilent(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = v
}

// note records a change. The lock is held.
func (s *Store) note(kind string, o object, deleted bool) {
	s.events = append(s.events, event{kind: kind, rev: s.rev, Deleted: deleted, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an object as an operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, b)
}

func (s *Store) put(kind, name string, spec json.RawMessage) *object {
	m := s.objects[kind]
	if m == nil {
		m = map[string]*object{}
		s.objects[kind] = m
	}
	s.rev++
	o := m[name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.rev, Finalizers: []string{}}}
		m[name] = o
	}
	o.Spec, o.Metadata.Revision = spec, s.rev
	s.note(kind, *o, false)
	return o
}

func (s *Store) Delete(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return false
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Revision = s.rev
	s.note(kind, *o, true)
	return true
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/goldcreststand/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(404)
			return
		}
		_ = json.NewEncoder(w).Encode(o)
	case r.Method == http.MethodDelete:
		if !s.Delete(kind, name) {
			w.WriteHeader(404)
		}
	default:
		s.write(w, r, kind, name, len(parts) > 2)
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" {
		name = in.Metadata.Name
		if o := s.objects[kind][name]; o != nil {
			w.WriteHeader(409)
			_ = json.NewEncoder(w).Encode(o)
			return
		}
		_ = json.NewEncoder(w).Encode(s.put(kind, name, in.Spec))
		return
	}
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(404)
		return
	}
	if in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision {
		w.WriteHeader(409)
		_ = json.NewEncoder(w).Encode(o)
		return
	}
	if status {
		s.rev++
		o.Status, o.Metadata.Revision = in.Status, s.rev
		s.note(kind, *o, false)
	} else {
		s.put(kind, name, in.Spec)
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	out := map[string]any{"asOf": s.rev, "hasMore": len(names) > pageSize}
	items := []object{}
	for _, n := range names[:min(len(names), pageSize)] {
		items = append(items, *s.objects[kind][n])
	}
	out["items"] = items
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > from {
				events = append(events, e)
			}
		}
		asOf, changed, silent := s.rev, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired || len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}
