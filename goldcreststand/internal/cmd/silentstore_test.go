package cmd

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silentStore is the address of a store for one instance. While it is silent, calls that wait and new ones are never answered.
type silentStore struct {
	http.Handler
	silent atomic.Bool
}

func (s *silentStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent.Load() {
		<-r.Context().Done()
		return
	}
	out := httptest.NewRecorder()
	s.Handler.ServeHTTP(out, r)
	if s.silent.Load() {
		<-r.Context().Done()
		return
	}
	maps.Copy(w.Header(), out.Header())
	w.WriteHeader(out.Code)
	_, _ = w.Write(out.Body.Bytes())
}

// Guards against an instance that reaches the store and goes by an old configuration, because the store is silent towards both
// instances that watch it for all. The bound is above the 2 s of the design for a busy machine, and below the time from which on
// instances stopped waiting for their sources when this failed.
func TestConfigArrivesWithoutWatchers(t *testing.T) {
	const bound = 5 * time.Second
	store, _ := newTestStore(t)
	stores, sites := startFleet(t, store)
	stores["n1"].silent.Store(true)
	stores["n2"].silent.Store(true)
	putOrganisations(store, 2, `[]`)
	start := time.Now()
	for name := range sites {
		require.Eventually(t, func() bool { return sites[name].inst.loop.Load().Config.Version == 2 }, bound, 10*time.Millisecond, "%s", name)
	}
	t.Logf("in force after %v", time.Since(start))
}

// startFleet starts three instances, of which n1 and n2 watch the store and n3 polls them, and returns their stores and sites.
func startFleet(t *testing.T, store *testStore) (map[string]*silentStore, map[string]*testSite) {
	store.put("servers", "s1", fmt.Sprintf(`{"service":"one","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready"}`, recordingServer(t, new(transcript))))
	putOrganisations(store, 1, `[]`)
	stores, sites := make(map[string]*silentStore), make(map[string]*testSite)
	for _, name := range []string{"n1", "n2", "n3"} {
		stores[name] = &silentStore{Handler: store.handler()}
		srv := httptest.NewServer(stores[name])
		t.Cleanup(srv.CloseClientConnections)
		s := newNamedSite(t, name, srv.Listener.Addr().String(), new(transcript))
		ended := s.start()
		t.Cleanup(func() {
			s.stop()
			require.NoError(t, <-ended)
		})
		s.awaitReady()
		sites[name] = s
	}
	require.Eventually(t, func() bool {
		for name, s := range sites {
			polls := s.inst.loop.Freshness().Watched > time.Second
			if len(s.inst.loop.Load().Members) != len(sites) || polls != (name == "n3") {
				return false
			}
		}
		return true
	}, patience, 10*time.Millisecond)
	return stores, sites
}
