package entry_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/ident"
	"goldcreststand.example/core/ring"
	"goldcreststand.example/core/spread"
	"goldcreststand.example/goldcreststand/internal/entry"
)

// testAPI has the tests' paths and bodies.
type testAPI struct{}

func (testAPI) ReadyPath() string  { return "/ready" }
func (testAPI) LookupPath() string { return "/lookup" }

func (testAPI) CallerDomain(param func(string) string) ident.DomainName {
	return ident.DomainName(param("domain"))
}

func (testAPI) Reply(list []netip.AddrPort) any { return list }

type staticSnapshots struct{ snap *spread.Snapshot }

func (s staticSnapshots) Load() *spread.Snapshot { return s.snap }

func members(domains ...ident.DomainName) []ring.Member {
	out := make([]ring.Member, len(domains))
	for i, d := range domains {
		out[i] = ring.Member{Domain: d, Traffic: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
	}
	return out
}

// Guards against lookups that return too few instances, or remote ones without need.
func TestLookup(t *testing.T) {
	tests := []struct {
		name    string
		members []ring.Member
		want    []string
	}{
		{name: "several local", members: members("a", "b", "a"), want: []string{"10.0.0.0:80", "10.0.0.2:80"}},
		{name: "one local", members: members("a", "b", "c"), want: []string{"10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"}},
		{name: "none local", members: members("b", "c"), want: []string{"10.0.0.0:80", "10.0.0.1:80"}},
		{name: "no instances"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := entry.NewLookupHandler(staticSnapshots{&spread.Snapshot{Members: tt.members}}, testAPI{})
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/lookup?domain=a", nil))
			if tt.want == nil {
				require.Equal(t, http.StatusServiceUnavailable, w.Code)
				return
			}
			var got []string
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
			require.ElementsMatch(t, tt.want, got)
		})
	}
}

// Guards against an instance that counts as ready before it has its configuration or while it shuts down.
func TestReady(t *testing.T) {
	tests := []struct {
		name string
		snap spread.Snapshot
		want int
	}{
		{name: "starting", want: http.StatusServiceUnavailable},
		{name: "ready", snap: spread.Snapshot{Ready: true}, want: http.StatusOK},
		{name: "shutting down", snap: spread.Snapshot{Ready: true, ShuttingDown: true}, want: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			entry.NewReadyHandler(staticSnapshots{&tt.snap}, testAPI{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
			require.Equal(t, tt.want, w.Code)
		})
	}
}
