package plat_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

func newTestClient(t *testing.T, h http.HandlerFunc) *plat.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return plat.New(s.URL, time.Second)
}

// Guards against the use of invalid values and against errors without the position of the invalid part.
func TestInvalidValuesAreRejectedWithTheirPosition(t *testing.T) {
	const row = `{"kind":"server","name":"a","weight":1,"limit":0,"state":"active","author":"x","changed":1}`
	head := `{"service":"inventory","revision":1,"edit":"e","author":"x","removed":[],"rows":[`
	for _, c := range []struct{ name, body, want string }{
		{"truncated", head, "byte"},
		{"wrong type", head + strings.Replace(row, `"weight":1`, `"weight":"x"`, 1) + `]}`, "/rows/0/weight"},
		{"out of range", head + row + "," + strings.Replace(row, `"weight":1`, `"weight":20000`, 1) + `]}`, "/rows/1/weight"},
		{"bad name", head + strings.Replace(row, `"name":"a"`, `"name":"A B"`, 1) + `]}`, "/rows/0/name"},
		{"duplicate row", head + row + "," + row + `]}`, "/rows/1"},
		{"of another service", strings.Replace(head, "inventory", "dispatch", 1) + `]}`, "/service"},
		{"too large", head + strings.Repeat(" ", plat.MaxValueBytes) + `]}`, "more than"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.body)) })
			_, err := p.Get(t.Context(), plat.ObjectPath(plat.CollectionTables, "inventory"), new(wire.Table))
			require.True(t, plat.ErrInvalid.Has(err), "%v", err)
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against responses that are mapped to the wrong error class.
func TestResponseErrorClasses(t *testing.T) {
	for _, c := range []struct {
		name        string
		code        int
		read, write interface{ Has(error) bool }
	}{
		{"conflict", 412, &plat.ErrInvalid, &plat.ErrConflict},
		{"limited", 429, &plat.ErrRateLimited, &plat.ErrRateLimited},
		{"failed", 503, &plat.ErrUnavailable, &plat.ErrUnknownOutcome},
		{"refused", 400, &plat.ErrInvalid, &plat.ErrInvalid},
		{"connection closed", 0, &plat.ErrUnavailable, &plat.ErrUnknownOutcome},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.code == 0 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(c.code)
			})
			_, err := p.Get(t.Context(), "/objects/tables/a", new(wire.Table))
			require.True(t, c.read.Has(err), "%v", err)
			_, err = p.Put(t.Context(), "/objects/tables/a", "", &wire.Table{})
			require.True(t, c.write.Has(err), "%v", err)
			var limited *plat.RateLimitError
			if c.code == 429 {
				require.ErrorAs(t, err, &limited)
				require.Equal(t, 3*time.Second, limited.RetryAfter)
			}
		})
	}
	p := plat.New("http://127.0.0.1:1", time.Second)
	_, err := p.Put(t.Context(), "/objects/tables/a", "", &wire.Table{})
	require.True(t, plat.ErrUnavailable.Has(err), "nothing was sent: %v", err)
}

// Guards against a server list with duplicate servers and against errors without the position of the invalid part.
func TestServerListIsValidated(t *testing.T) {
	const srv = `{"id":"a","address":"127.0.0.1:1","domain":"d","version":"v1","slots":4,"connections":9,"incarnation":1,"leaving":false}`
	body := `{"service":"inventory","revision":1,"servers":[` + srv + `,` + srv + `]}`
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
	_, _, err := c.ServerList(t.Context(), "inventory")
	require.ErrorContains(t, err, "/servers/1/id")
	body = `{"service":"inventory","revision":1,"servers":[` + srv + `]}`
	l, _, err := c.ServerList(t.Context(), "inventory")
	require.NoError(t, err)
	require.Len(t, l.Servers, 1)
	body = `{"names":["inventory"]}`
	names, _, err := c.List(t.Context(), plat.CollectionTables)
	require.NoError(t, err)
	require.Equal(t, []string{"inventory"}, names)
}
