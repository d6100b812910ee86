package store_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/fakeplatform/internal/fault"
	"goldcreststand.example/fakeplatform/internal/store"
	"goldcreststand.example/schema/wire"
)

type platform struct {
	t     *testing.T
	url   string
	clock *clockwork.FakeClock
}

func start(t *testing.T) *platform {
	t.Helper()
	clock := clockwork.NewFakeClock()
	srv := httptest.NewServer(store.NewHandler(store.New(clock), clock, fault.New(clock)))
	t.Cleanup(srv.Close)
	return &platform{t: t, url: srv.URL, clock: clock}
}

// call returns the status code, or 0 when the connection broke.
func (p *platform) call(method, path, body string, header ...string) (int, http.Header) {
	p.t.Helper()
	req, err := http.NewRequestWithContext(p.t.Context(), method, p.url+path, strings.NewReader(body))
	require.NoError(p.t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	require.NoError(p.t, resp.Body.Close())
	return resp.StatusCode, resp.Header
}

func (p *platform) faults(body string) {
	p.t.Helper()
	code, _ := p.call("PUT", "/control/faults", body)
	require.Equal(p.t, http.StatusNoContent, code)
}

func (p *platform) calls() (c wire.PlatformCalls) {
	p.t.Helper()
	resp, err := http.Get(p.url + "/control/calls")
	require.NoError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(p.t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}

func (p *platform) create(name string) int {
	p.t.Helper()
	code, _ := p.call("PUT", "/objects/tables/"+name, "{}", "If-None-Match", "*")
	return code
}

// Guards against a lost response whose write did not take effect, which would hide faults of clients.
func TestLostResponseTakesEffect(t *testing.T) {
	p := start(t)
	p.faults(`{"lost":1000}`)
	require.Zero(t, p.create("a"))
	code, _ := p.call("GET", "/objects/tables/a", "")
	require.Equal(t, http.StatusOK, code)
	p.faults(`{}`)
	require.Equal(t, http.StatusPreconditionFailed, p.create("a"))
}

// Guards against an outage that lets calls or waiting watches through, or takes effect on writes.
func TestOutage(t *testing.T) {
	p := start(t)
	p.create("a")
	_, h := p.call("GET", "/objects/tables/a", "")
	ended := make(chan int)
	go func() {
		code, _ := p.call("GET", "/objects/tables/a", "", "If-None-Match", h.Get("ETag"), "Prefer", "wait=30")
		ended <- code
	}()
	require.NoError(t, p.clock.BlockUntilContext(t.Context(), 1))
	require.Equal(t, 1, p.calls().Pending)
	p.faults(`{"outage":"error"}`)
	require.Equal(t, http.StatusServiceUnavailable, <-ended)
	require.Equal(t, http.StatusServiceUnavailable, p.create("b"))
	p.faults(`{}`)
	require.Equal(t, http.StatusNoContent, p.create("b"))
	c := p.calls()
	require.Equal(t, wire.PlatformCalls{Gets: 1, Watches: 1, Puts: 3, Failed: 2}, c)
}

// Guards against a rate limit that admits more calls than set or never admits again.
func TestRateLimit(t *testing.T) {
	p := start(t)
	p.faults(`{"writes":2}`)
	require.Equal(t, http.StatusNoContent, p.create("a"))
	require.Equal(t, http.StatusNoContent, p.create("b"))
	require.Equal(t, http.StatusTooManyRequests, p.create("c"))
	p.clock.Advance(time.Second)
	require.Equal(t, http.StatusNoContent, p.create("c"))
	require.Equal(t, 1, p.calls().Limited)
}

// Guards against a replica or an instance list that does not lag, or never catches up.
func TestLag(t *testing.T) {
	p := start(t)
	p.faults(`{"replica":"2s","stale":1000,"lag":"3s"}`)
	p.create("a")
	code, _ := p.call("PUT", "/control/instances/a", "{}")
	require.Equal(t, http.StatusNoContent, code)
	for _, c := range []struct {
		after           time.Duration
		object, listing int
	}{{0, 404, 404}, {2 * time.Second, 200, 404}, {time.Second, 200, 200}} {
		p.clock.Advance(c.after)
		code, _ = p.call("GET", "/objects/tables/a", "")
		require.Equal(t, c.object, code)
		code, _ = p.call("GET", "/instances/a", "")
		require.Equal(t, c.listing, code)
	}
}

// Guards against invalid faults that are taken for none.
func TestInvalidFaultsAreRefused(t *testing.T) {
	p := start(t)
	code, _ := p.call("PUT", "/control/faults", `{"outage":"maybe"}`)
	require.Equal(t, http.StatusBadRequest, code)
}
