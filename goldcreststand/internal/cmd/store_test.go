package cmd

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"sync"
	"testing"
	"time"
)

// testStore is a store of objects that answers lists, watches and writes.
type testStore struct {
	mu      sync.Mutex
	rev     int
	era     int
	objects map[string]map[string]json.RawMessage
	// events holds the changes of each kind with their revisions.
	events  map[string][]testEvent
	changed chan struct{}
}

type testEvent struct {
	rev int
	raw json.RawMessage
}

// newTestStore returns a store and its address.
func newTestStore(t *testing.T) (*testStore, string) {
	s := &testStore{objects: make(map[string]map[string]json.RawMessage), events: make(map[string][]testEvent), changed: make(chan struct{})}
	srv := httptest.NewServer(s.handler())
	t.Cleanup(srv.CloseClientConnections)
	return s, srv.Listener.Addr().String()
}

// returnTo sets the store back to an older copy of its content.
func (s *testStore) returnTo(rev int, objects map[string]map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.objects, s.events = rev, cloneObjects(objects), make(map[string][]testEvent)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// content returns the store's revision and a copy of its objects.
func (s *testStore) content() (int, map[string]map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev, cloneObjects(s.objects)
}

func cloneObjects(objects map[string]map[string]json.RawMessage) map[string]map[string]json.RawMessage {
	out := make(map[string]map[string]json.RawMessage)
	for kind, named := range objects {
		out[kind] = maps.Clone(named)
	}
	return out
}

// setEra sets the field that names the era. It is locked.
func (s *testStore) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
}

// handler returns the handler of the store's calls.
func (s *testStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /goldcreststand/objects/{kind}", s.read)
	mux.HandleFunc("GET /goldcreststand/objects/{kind}/{name}", s.readOne)
	mux.HandleFunc("POST /goldcreststand/objects/{kind}", s.write)
	mux.HandleFunc("PUT /goldcreststand/objects/{kind}/{name}", s.write)
	mux.HandleFunc("DELETE /goldcreststand/objects/{kind}/{name}", s.write)
	return mux
}

// readOne answers a read of one object.
func (s *testStore) readOne(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	raw, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(raw)
}

// put writes an object.
func (s *testStore) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	raw := json.RawMessage(fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s}`, name, s.rev, spec))
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]json.RawMessage)
	}
	s.objects[kind][name] = raw
	s.events[kind] = append(s.events[kind], testEvent{s.rev, json.RawMessage(fmt.Sprintf(`{"object":%s}`, raw))})
	close(s.changed)
	s.changed = make(chan struct{})
}

// write handles a write. Entries are not removed, because the tests have one instance.
func (s *testStore) write(_ http.ResponseWriter, r *http.Request) {
	var o struct {
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.NewDecoder(r.Body).Decode(&o) == nil && o.Spec != nil {
		s.put(path.Base(r.PathValue("kind")), o.Metadata.Name, string(o.Spec))
	}
}

// read answers a list or a watch.
func (s *testStore) read(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	from, err := strconv.Atoi(r.URL.Query().Get("watch"))
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		items := []json.RawMessage{}
		s.setEra(w)
		for _, raw := range s.objects[kind] {
			items = append(items, raw)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "asOf": s.rev})
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.setEra(w)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if from > s.rev || s.era != era {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, rev, changed := []json.RawMessage{}, s.rev, s.changed
		for _, e := range s.events[kind] {
			if e.rev > from {
				events = append(events, e.raw)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}
