package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, as PROTOCOL.md describes it.
type store struct {
	rec *record
	l   *trackedListener

	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]*object
	history []event
	changed chan struct{}
	// lose decides about the answer to a write call of an instance: a positive delay loses it, and the write is done after it.
	lose func(method, path string, body object) time.Duration
	// onStatus is called after the status of a rollout was written.
	onStatus func(service, state string)
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
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore(rec *record, address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, rev: 100, kinds: make(map[string]map[string]*object), changed: make(chan struct{})}
	s.l = &trackedListener{Listener: ln, conns: make(map[*trackedConn]bool)}
	go func() { _ = http.Serve(s.l, s) }()
	return s, nil
}

func (s *store) change(kind string, o *object, deleted bool) {
	s.rev++
	o.Metadata.Revision = s.rev
	s.history = append(s.history, event{kind: kind, rev: s.rev, Object: *o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces the spec of an object, as the operator and the servers do, and returns the time of its confirmation.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	o := s.kinds[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, Created: s.rev + 1, Finalizers: []string{}}, Status: json.RawMessage("null")}
		s.kinds[kind][name] = o
	}
	o.Spec = raw
	s.change(kind, o, false)
	return time.Now()
}

func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.kinds[kind][name]; o != nil {
		delete(s.kinds[kind], name)
		s.change(kind, o, true)
	}
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/goldcreststand/objects/"), "/")
	kind, name, status := parts[0], "", len(parts) == 3 && parts[2] == "status"
	if len(parts) > 1 {
		name = parts[1]
	}
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	if v := r.URL.Query().Get("revision"); v != "" {
		o.Metadata.Revision, _ = strconv.ParseUint(v, 10, 64)
	}
	if s.lose != nil {
		if d := s.lose(r.Method, r.URL.Path, o); d > 0 {
			time.Sleep(d)
			code, _ := s.write(r.Method, kind, name, status, o)
			s.rec.printf("store: the write with the lost answer is done now, with %d: %s %s %s", code, r.Method, r.URL.Path, o.Status)
			// A connection on which an answer is lost returns nothing further.
			select {}
		}
	}
	code, out := s.write(r.Method, kind, name, status, o)
	s.rec.printf("store: %s %s -> %d %s", r.Method, r.URL.Path, code, o.Status)
	reply(w, code, out)
}

// write does one write call.
func (s *store) write(method, kind, name string, status bool, in object) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	o := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && o != nil:
		return http.StatusConflict, o
	case method == http.MethodPost:
		o = &object{Metadata: metadata{Name: name, Created: s.rev + 1, Finalizers: []string{}}, Spec: in.Spec, Status: json.RawMessage("null")}
		s.kinds[kind][name] = o
		s.change(kind, o, false)
	case o == nil:
		return http.StatusNotFound, nil
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		return http.StatusConflict, o
	case method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.change(kind, o, true)
	case status:
		if string(o.Status) == string(in.Status) {
			break
		}
		o.Status = in.Status
		s.change(kind, o, false)
		var st struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(in.Status, &st)
		if kind == "rollouts" && s.onStatus != nil {
			go s.onStatus(name, st.State)
		}
	default:
		if string(o.Spec) == string(in.Spec) {
			break
		}
		o.Spec = in.Spec
		s.change(kind, o, false)
	}
	out := *o
	return http.StatusOK, &out
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	q := r.URL.Query()
	if from := q.Get("watch"); from != "" {
		s.watch(w, r, kind, from, q.Get("waitMs"))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o := s.kinds[kind][name]
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	names := make([]string, 0, len(s.kinds[kind]))
	for n := range s.kinds[kind] {
		if n > q.Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := make([]object, 0, len(names))
	for _, n := range names {
		items = append(items, *s.kinds[kind][n])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, from, waitMs string) {
	rev, _ := strconv.ParseUint(from, 10, 64)
	ms, _ := strconv.Atoi(waitMs)
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > rev {
				events = append(events, e)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}
