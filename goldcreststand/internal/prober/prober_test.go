package prober_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/probe"
	"goldcreststand.example/goldcreststand/internal/ctrl"
	"goldcreststand.example/goldcreststand/internal/prober"
)

type events chan ctrl.Event

func (e events) Post(_ context.Context, ev ctrl.Event) error {
	e <- ev
	return nil
}

// raw returns a handler that writes the bytes to the connection.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(nc, text)
			_ = nc.Close()
		}
	}
}

// Guards against probes that treat an error as healthy, that never end, or that read more than their byte
// budget.
func TestProbe(t *testing.T) {
	hang := make(chan struct{})
	for _, tc := range []struct {
		name             string
		health, load     http.HandlerFunc
		failed, draining bool
		slots            int
	}{
		{name: "healthy", load: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"inflight":1,"slots":3}`)) }, slots: 3},
		{name: "invalid load", load: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"slots":"x"}`)) }},
		{name: "draining", health: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, draining: true},
		{name: "failing", health: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, failed: true},
		{name: "large", health: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat("x", 1<<20)))
		}, failed: true},
		{name: "large head", health: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
		}, failed: true},
		{name: "invalid status", health: raw("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"), failed: true},
		{name: "invalid field name", health: raw("HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n"), failed: true},
		{name: "invalid head of the load", load: raw("HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 24\r\n\r\n{\"inflight\":1,\"slots\":3}")},
		{name: "hangs", health: func(http.ResponseWriter, *http.Request) { <-hang }, failed: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			none := func(http.ResponseWriter, *http.Request) {}
			mux := http.NewServeMux()
			for path, h := range map[string]http.HandlerFunc{"/health": tc.health, "/load": tc.load} {
				if h == nil {
					h = none
				}
				mux.HandleFunc(path, h)
			}
			srv := httptest.NewServer(mux)
			p, got := prober.New(clockwork.NewRealClock()), make(events, 1)
			ctx, stop := context.WithCancel(t.Context())
			go p.Run(ctx, got)
			p.Enqueue(ctrl.SendProbe{Service: "svc", Server: "s0", Address: netip.MustParseAddrPort(srv.Listener.Addr().String())})
			select {
			case ev := <-got:
				r := ev.(ctrl.ProbeCompleted)
				require.Equal(t, tc.failed, r.Result.Failed)
				require.Equal(t, tc.draining, r.Result.Draining)
				require.EqualValues(t, tc.slots, r.Result.Slots)
				require.Positive(t, r.Bytes)
				require.LessOrEqual(t, r.Bytes, probe.MaxBytes)
				t.Logf("%d bytes", r.Bytes)
			case <-time.After(5 * time.Second):
				t.Fatal("no result")
			}
			stop()
			<-p.Done()
			if tc.name == "hangs" {
				close(hang)
			}
			srv.Close()
		})
	}
}
