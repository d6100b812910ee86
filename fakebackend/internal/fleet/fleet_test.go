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

// start runs one server with one slot that has the faults.
func start(t *testing.T, text string) (*Fleet, string) {
	f, err := Start([]wire.Server{{
		ID: "s0", Address: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 1, Connections: 1,
	}}, time.Microsecond)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	put(t, f, text)
	return f, "http://" + f.servers[0].links.Addr().String()
}

func put(t *testing.T, f *Fleet, text string) {
	req := httptest.NewRequest(http.MethodPut, "/faults/s0", strings.NewReader(text))
	req.Header.Set("Content-Type", "application/json")
	rec := httptest.NewRecorder()
	f.Control().ServeHTTP(rec, req)
	require.Equal(t, http.StatusNoContent, rec.Code, rec.Body)
}

func get(ctx context.Context, hc *http.Client, url, id string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	req.Header.Set(requestHeader, id)
	resp, err := hc.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Guards against faults of the stand-in that do not show, since tests of the proxy would then prove
// nothing.
func TestFaults(t *testing.T) {
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
		{name: "claim", faults: `{"claim":7}`, status: http.StatusOK, header: loadHeader, executed: 1},
		{name: "close", faults: `{"close":1000}`, broken: true, executed: 1},
		{name: "truncate", faults: `{"truncate":1000}`, broken: true, executed: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, url := start(t, tt.faults)
			hc := &http.Client{Transport: &http.Transport{}}
			defer hc.CloseIdleConnections()
			resp, _, err := get(t.Context(), hc, url+"/a/1", "r1")
			require.Equal(t, tt.broken, err != nil)
			if err == nil {
				require.Equal(t, tt.status, resp.StatusCode)
				require.Equal(t, tt.name == "drain", resp.Close)
				require.True(t, tt.header == "" || resp.Header.Get(tt.header) != "")
			}
			require.Equal(t, tt.executed, f.executed.count("r1"))
		})
	}
}

// Guards against a stand-in that does not notice a second execution.
func TestRepeatedExecutionIsCounted(t *testing.T) {
	f, url := start(t, `{}`)
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	for range 2 {
		_, _, err := get(t.Context(), hc, url+"/a", "r1")
		require.NoError(t, err)
	}
	rec := httptest.NewRecorder()
	f.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/tally", nil))
	var got wire.Tally
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &got))
	require.Equal(t, wire.Tally{Executed: 2, Repeated: 1, Doubled: 1, Peak: 1, Connections: 1}, got)
}

// Guards against a silent connection that loses only the response.
func TestSilentConnectionLosesRequests(t *testing.T) {
	f, url := start(t, `{}`)
	hc := &http.Client{Transport: &http.Transport{}}
	defer hc.CloseIdleConnections()
	_, _, err := get(t.Context(), hc, url+"/a", "r1")
	require.NoError(t, err)
	put(t, f, `{"silent":true}`)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, _, err = get(ctx, hc, url+"/a", "r2")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Zero(t, f.executed.count("r2"))
}

// Guards against a cold server that takes full load at once.
func TestColdCapacityGrows(t *testing.T) {
	c := newCapacity(4)
	c.cool()
	for range 2 * warmCalls {
		_, ok := c.enter()
		require.True(t, ok)
		c.leave(true)
	}
	_, slots := c.load()
	require.EqualValues(t, 4, slots)
	c.cool()
	for range 2 {
		_, ok := c.enter()
		require.True(t, ok)
	}
	_, ok := c.enter()
	require.False(t, ok, "a cold server falls over under full load")
	_, exceeded := c.counts()
	require.EqualValues(t, 2, exceeded)
}

// Guards against a crossed response that never shows.
func TestCrossedResponseComesNext(t *testing.T) {
	_, url := start(t, `{"crossed":1000}`)
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
