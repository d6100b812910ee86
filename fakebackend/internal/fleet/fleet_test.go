package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/schema/wire"
)

// startServer runs one server with one slot and the faults.
func startServer(t *testing.T, faults string) (*Fleet, string) {
	f, err := Start([]wire.Server{{
		ID: "s0", Address: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 1, Connections: 1,
	}}, time.Microsecond)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	putFaults(t, f, faults)
	return f, "http://" + f.servers[0].listener.Addr().String()
}

func putFaults(t *testing.T, f *Fleet, faults string) {
	req := httptest.NewRequest(http.MethodPut, "/faults/s0", strings.NewReader(faults))
	req.Header.Set("Content-Type", "application/json")
	rec := httptest.NewRecorder()
	f.Control().ServeHTTP(rec, req)
	require.Equal(t, http.StatusNoContent, rec.Code, rec.Body)
}

func post(ctx context.Context, hc *http.Client, url, id string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	req.Header.Set(requestIDHeader, id)
	resp, err := hc.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Guards against faults that have no effect, because proxy tests that use them would then pass without
// testing anything.
func TestFaultsTakeEffect(t *testing.T) {
	tests := []struct {
		name     string
		faults   string
		status   int
		header   string
		broken   bool
		executed int
	}{
		{name: "none", faults: `{}`, status: http.StatusOK, executed: 1},
		{name: "shed", faults: `{"shed":1000}`, status: http.StatusServiceUnavailable, header: executedHeader},
		{name: "fail", faults: `{"fail":1000}`, status: http.StatusInternalServerError, executed: 1},
		{name: "fail on another route", faults: `{"fail":1000,"route":"b"}`, status: http.StatusOK, executed: 1},
		{name: "fail later", faults: `{"fail":1000,"after":"1h"}`, status: http.StatusOK, executed: 1},
		{name: "fail under load", faults: `{"fail":1000,"above":1}`, status: http.StatusOK, executed: 1},
		{name: "drain", faults: `{"drain":true}`, status: http.StatusOK, executed: 1},
		{name: "leaving", faults: `{"leaving":true}`, status: http.StatusOK, header: leavingHeader, executed: 1},
		{name: "pause", faults: `{"shed":1000,"pause":"250ms"}`, status: http.StatusServiceUnavailable, header: "Retry-After"},
		{name: "claim", faults: `{"claim":7}`, status: http.StatusOK, header: loadHeader, executed: 1},
		{name: "close", faults: `{"close":1000}`, broken: true, executed: 1},
		{name: "truncate", faults: `{"truncate":1000}`, broken: true, executed: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, url := startServer(t, tt.faults)
			hc := &http.Client{Transport: &http.Transport{}}
			defer hc.CloseIdleConnections()
			resp, _, err := post(t.Context(), hc, url+"/a/1", "r1")
			require.Equal(t, tt.broken, err != nil)
			if err == nil {
				require.Equal(t, tt.status, resp.StatusCode)
				require.Equal(t, tt.name == "drain", resp.Close)
				require.True(t, tt.header == "" || resp.Header.Get(tt.header) != "")
			}
			require.Equal(t, tt.executed, f.executions.count("r1"))
		})
	}
}

// Guards against a second execution of a request that is not counted.
func TestRepeatedExecutionIsCounted(t *testing.T) {
	f, url := startServer(t, `{}`)
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	for range 2 {
		_, _, err := post(t.Context(), hc, url+"/a", "r1")
		require.NoError(t, err)
	}
	rec := httptest.NewRecorder()
	f.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/tally", nil))
	var got wire.Tally
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &got))
	require.Equal(t, wire.Tally{Executed: 2, Repeated: 1, Doubled: 1, Peak: 1, Connections: 1}, got)
}

// Guards against a silent connection that discards only the response and still executes the request.
func TestSilentConnectionDiscardsRequests(t *testing.T) {
	f, url := startServer(t, `{}`)
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	_, _, err := post(t.Context(), hc, url+"/a", "r1")
	require.NoError(t, err)
	putFaults(t, f, `{"silent":true}`)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, _, err = post(ctx, hc, url+"/a", "r2")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Zero(t, f.executions.count("r2"))
}

// Guards against a cold server that has full capacity immediately.
func TestColdServerCapacityGrows(t *testing.T) {
	c := newCapacity(4)
	c.makeCold()
	for range 2 * warmCalls {
		_, ok := c.acquire()
		require.True(t, ok)
		c.release(true)
	}
	_, slots := c.load()
	require.EqualValues(t, 4, slots)
	c.makeCold()
	for range 2 {
		_, ok := c.acquire()
		require.True(t, ok)
	}
	_, ok := c.acquire()
	require.False(t, ok, "a cold server is overloaded by full load")
	_, violations := c.counts()
	require.EqualValues(t, 2, violations)
}

// Guards against a crossed response that is never sent.
func TestCrossedResponseAnswersNextRequest(t *testing.T) {
	_, url := startServer(t, `{"crossed":1000}`)
	nc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	b, err := io.ReadAll(nc)
	require.NoError(t, err)
	require.Contains(t, string(b), "GET /first")
	require.NotContains(t, string(b), "GET /second")
}
