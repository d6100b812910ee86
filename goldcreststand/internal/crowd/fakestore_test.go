package crowd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeStore is a store of objects in the encoding of the users' platform. Objects are only added or replaced.
type fakeStore struct {
	srv *httptest.Server

	mu       sync.Mutex
	revision int
	objects  map[string]map[string]object
	// changed is closed at the next change.
	changed chan struct{}
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int    `json:"revision"`
	Created  int    `json:"created"`
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{objects: make(map[string]map[string]object), changed: make(chan struct{})}
	s.srv = httptest.NewServer(s)
	t.Cleanup(s.srv.Close)
	return s
}

func (s *fakeStore) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.srv.Listener.Addr().String())
}

// put adds or replaces an object.
func (s *fakeStore) put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	s.objects[kind][name] = object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: raw}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves lists, watches and writes.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/goldcreststand/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err == nil {
			s.put(kind, o.Metadata.Name, o.Spec)
		}
		_ = json.NewEncoder(w).Encode(o)
	case r.Method != http.MethodGet:
	case q.Has("watch"):
		s.watch(w, r, kind)
	default:
		items, revision, _ := s.newer(kind, 0)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "asOf": revision})
	}
}

// watch replies with the changes after a revision, or with none at the end of the watch.
func (s *fakeStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	items, revision, changed := s.newer(kind, from)
	for waiting := true; waiting && len(items) == 0; {
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
		items, revision, changed = s.newer(kind, from)
	}
	events := make([]map[string]any, 0, len(items))
	for _, o := range items {
		events = append(events, map[string]any{"object": o, "deleted": false})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": revision})
}

// newer returns the objects of the kind that changed after the revision, the revision of the store, and a channel that is closed
// at the next change.
func (s *fakeStore) newer(kind string, from int) ([]object, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Revision > from {
			out = append(out, o)
		}
	}
	return out, s.revision, s.changed
}
