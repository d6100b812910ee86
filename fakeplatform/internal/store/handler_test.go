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

func startPlatform(t *testing.T) *platform {
	t.Helper()
	clock := clockwork.NewFakeClock()
	srv := httptest.NewServer(store.NewHandler(store.New(clock), clock, fault.New(clock)))
	t.Cleanup(srv.Close)
	return &platform{t: t, url: srv.URL, clock: clock}
}

// call returns the status code, or 0 when the connection was closed without a response.
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

func (p *platform) setFaults(body string) {
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

func (p *platform) createObject(name string) int {
	p.t.Helper()
	code, _ := p.call("PUT", "/objects/tables/"+name, "{}", "If-None-Match", "*")
	return code
}

// Guards against a lost response whose write did not take effect, which would hide bugs in how clients
// handle lost responses.
func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	p := startPlatform(t)
	p.setFaults(`{"lost":1000}`)
	require.Zero(t, p.createObject("a"))
	code, _ := p.call("GET", "/objects/tables/a", "")
	require.Equal(t, http.StatusOK, code)
	p.setFaults(`{}`)
	require.Equal(t, http.StatusPreconditionFailed, p.createObject("a"))
}

// Guards against an outage in which calls or waiting watches succeed or writes take effect.
func TestOutageFailsCallsAndWatches(t *testing.T) {
	p := startPlatform(t)
	p.createObject("a")
	_, h := p.call("GET", "/objects/tables/a", "")
	watchStatus := make(chan int)
	go func() {
		code, _ := p.call("GET", "/objects/tables/a", "", "If-None-Match", h.Get("ETag"), "Prefer", "wait=30")
		watchStatus <- code
	}()
	require.NoError(t, p.clock.BlockUntilContext(t.Context(), 1))
	require.Equal(t, 1, p.calls().Pending)
	p.setFaults(`{"outage":"error"}`)
	require.Equal(t, http.StatusServiceUnavailable, <-watchStatus)
	require.Equal(t, http.StatusServiceUnavailable, p.createObject("b"))
	p.setFaults(`{}`)
	require.Equal(t, http.StatusNoContent, p.createObject("b"))
	c := p.calls()
	require.Equal(t, wire.PlatformCalls{Gets: 1, Watches: 1, Puts: 3, Failed: 2}, c)
}

// Guards against a rate limit that admits more calls than configured or never admits any again.
func TestRateLimit(t *testing.T) {
	p := startPlatform(t)
	p.setFaults(`{"writes":2}`)
	require.Equal(t, http.StatusNoContent, p.createObject("a"))
	require.Equal(t, http.StatusNoContent, p.createObject("b"))
	require.Equal(t, http.StatusTooManyRequests, p.createObject("c"))
	p.clock.Advance(time.Second)
	require.Equal(t, http.StatusNoContent, p.createObject("c"))
	require.Equal(t, 1, p.calls().Limited)
}

// Guards against a replica or a server list that does not lag or never catches up.
func TestReplicaAndServerListLag(t *testing.T) {
	p := startPlatform(t)
	p.setFaults(`{"replica":"2s","stale":1000,"lag":"3s"}`)
	p.createObject("a")
	code, _ := p.call("PUT", "/control/instances/a", "{}")
	require.Equal(t, http.StatusNoContent, code)
	for _, c := range []struct {
		advance                  time.Duration
		objectStatus, listStatus int
	}{{0, 404, 404}, {2 * time.Second, 200, 404}, {time.Second, 200, 200}} {
		p.clock.Advance(c.advance)
		code, _ = p.call("GET", "/objects/tables/a", "")
		require.Equal(t, c.objectStatus, code)
		code, _ = p.call("GET", "/instances/a", "")
		require.Equal(t, c.listStatus, code)
	}
}

// Guards against invalid faults that are accepted and handled as if no fault was set.
func TestInvalidFaultsAreRejected(t *testing.T) {
	p := startPlatform(t)
	code, _ := p.call("PUT", "/control/faults", `{"outage":"maybe"}`)
	require.Equal(t, http.StatusBadRequest, code)
}
