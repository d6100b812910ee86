package watch_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcreststand.example/core/dist"
	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/table"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/watch"
	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// Guards against calls that outlive Run.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type nopLog struct{}

func (nopLog) Infof(string, ...any) {}
func (nopLog) Warnf(string, ...any) {}

// eventRecorder collects the posted events.
type eventRecorder chan dist.Event

func (e eventRecorder) Post(_ context.Context, ev ctrl.Event) error {
	e <- ev.(ctrl.DistEvent).Event
	return nil
}

func startWatcher(t *testing.T, h http.HandlerFunc) (*watch.Watcher, eventRecorder) {
	t.Helper()
	srv := httptest.NewServer(h)
	hc := &http.Client{Transport: &http.Transport{}}
	w := watch.New(plat.New(srv.URL, 5*time.Second, plat.WithHTTPClient(hc)), clockwork.NewFakeClock(), nopLog{})
	ctx, cancel := context.WithCancel(t.Context())
	posted := make(eventRecorder, 16)
	go w.Run(ctx, posted)
	t.Cleanup(func() {
		cancel()
		<-w.Done()
		hc.CloseIdleConnections()
		srv.Close()
	})
	return w, posted
}

// Guards against errors that are mapped to the wrong failure, which would stop retries or start them too
// early, and against invalid values that reach the control loop.
func TestCallErrorsBecomeFailureEvents(t *testing.T) {
	for _, c := range []struct {
		name string
		code int
		body string
		want dist.WatchFailed
	}{
		{"absent", 404, "", dist.WatchFailed{Failure: dist.FailureNotFound}},
		{"limited", 429, "", dist.WatchFailed{Failure: dist.FailureRateLimited, RetryAfter: 7 * time.Second}},
		{"outage", 503, "", dist.WatchFailed{Failure: dist.FailureUnreachable}},
		{"not JSON", 200, "{", dist.WatchFailed{Failure: dist.FailureInvalid}},
		{"not valid", 200, `{"service":"other","revision":1,"edit":"e","author":"x","rows":[],"removed":[]}`, dist.WatchFailed{Failure: dist.FailureInvalid}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, posted := startWatcher(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "7")
				w.WriteHeader(c.code)
				_, _ = io.WriteString(w, c.body)
			})
			c.want.Key, c.want.Call = dist.TableKey("inventory"), 3
			w.Do(dist.StartWatch{Key: c.want.Key, Call: 3})
			require.Equal(t, c.want, <-posted)
		})
	}
}

// Guards against watch requests without tag and wait, which would turn long polling into polling, and against
// responses that are attributed to another call.
func TestWatchSendsTagAndWait(t *testing.T) {
	w, posted := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == "7" && r.Header.Get("Prefer") == "wait=30" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", "7")
		_, _ = io.WriteString(w, `{"service":"inventory","revision":4,"servers":[]}`)
	})
	k := dist.ServerListKey("inventory")
	w.Do(dist.StartWatch{Key: k, Call: 1})
	got := (<-posted).(dist.ObjectRead)
	require.Equal(t, dist.Tag("7"), got.Tag)
	require.EqualValues(t, 4, got.Object.Revision)
	w.Do(dist.StartWatch{Key: k, Call: 2, Tag: got.Tag, Wait: 30 * time.Second})
	require.Equal(t, dist.WatchUnchanged{Key: k, Call: 2}, <-posted)
}

// Guards against watches that continue or post events after they were replaced or canceled.
func TestCanceledCallsPostNoEvents(t *testing.T) {
	var calls atomic.Int32
	started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	w, posted := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= 2 {
			started <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
			return
		}
		w.WriteHeader(http.StatusNotFound)
	})
	table, list := dist.TableKey("inventory"), dist.ServerListKey("inventory")
	w.Do(dist.StartWatch{Key: table, Call: 1})
	w.Do(dist.StartWatch{Key: list, Call: 2})
	<-started
	<-started
	w.Do(dist.StopWatch{Key: list})
	w.Do(dist.StartWatch{Key: table, Call: 3})
	<-ended
	<-ended
	require.Equal(t, dist.WatchFailed{Key: table, Call: 3, Failure: dist.FailureNotFound}, <-posted)
	require.Empty(t, posted)
}

// Guards against one invalid service name hiding all services.
func TestCatalogSkipsInvalidNames(t *testing.T) {
	w, posted := startWatcher(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"names":["inventory","Not Valid","dispatch"]}`)
	})
	w.Do(dist.StartWatch{Key: dist.CatalogKey(), Call: 1})
	require.Equal(t, []ident.ServiceName{"inventory", "dispatch"}, (<-posted).(dist.CatalogRead).Services)
}

// Guards against a rollout status that is written twice when a response is lost, and against an older status
// that replaces a newer one.
func TestStoreMergesStatus(t *testing.T) {
	var mu sync.Mutex
	var stored *wire.Status
	puts := 0
	w, posted := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.Method == http.MethodPut:
			puts++
			stored = new(wire.Status)
			_ = json.NewDecoder(r.Body).Decode(stored)
			panic(http.ErrAbortHandler)
		case stored == nil:
			w.WriteHeader(http.StatusNotFound)
		default:
			_ = json.NewEncoder(w).Encode(stored)
		}
	})
	newer := &table.RolloutStatus{Service: "inventory", Attempt: 2, Outcome: table.OutcomeReverted, Stage: 1}
	w.Do(dist.StoreStatus{Call: 1, Status: newer})
	require.Equal(t, dist.StatusStored{Call: 1, Status: newer}, <-posted)
	w.Do(dist.StoreStatus{Call: 2, Status: &table.RolloutStatus{Service: "inventory", Attempt: 2, Stage: 4}})
	require.Equal(t, dist.StatusStored{Call: 2, Status: newer}, <-posted)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, 1, puts)
}
