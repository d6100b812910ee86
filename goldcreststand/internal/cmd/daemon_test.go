package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"goldcreststand.example/core/member"
)

// newTestDaemon returns a daemon beside an empty platform.
func newTestDaemon(t *testing.T, admin string) *daemon {
	platform := httptest.NewServer(nil)
	t.Cleanup(platform.Close)
	file := filepath.Join(t.TempDir(), "a.toml")
	require.NoError(t, os.WriteFile(file, []byte(`
name = "a"
domain = "d"
[traffic]
address = "127.0.0.1:0"
[peer]
address = "127.0.0.1:0"
seeds = ["127.0.0.1:1"]
[admin]
address = "`+admin+`"
[platform]
url = "`+platform.URL+`"
`), 0o600))
	s, err := loadSettings(file)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newDaemon(s, clockwork.NewRealClock(), log)
}

// Guards against a graceful shutdown that does not announce the leave, returns an error or does not end.
func TestShutdownLeavesFirst(t *testing.T) {
	d := newTestDaemon(t, "127.0.0.1:0")
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- d.run(ctx) }()
	require.Equal(t, member.StateAlive, d.loop.Members()[0].State)
	cancel()
	select {
	case err := <-result:
		require.NoError(t, err)
	case <-time.After(30 * time.Second):
		require.Fail(t, "shutdown does not end")
	}
	require.Equal(t, member.StateLeft, d.loop.Members()[0].State)
}

// Guards against pages for operators that the server of callers' calls does not serve.
func TestOperatorsPages(t *testing.T) {
	address := freeAddress(t)
	d := newTestDaemon(t, address)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- d.run(ctx) }()
	for path, want := range map[string]int{
		"/status": http.StatusOK, "/livez": http.StatusOK, "/readyz": http.StatusServiceUnavailable, "/debug/vars": http.StatusOK,
		"/none": http.StatusNotFound,
	} {
		var resp *http.Response
		require.Eventually(t, func() bool {
			var err error
			resp, err = http.Get("http://" + address + path)
			return err == nil
		}, patience, 10*time.Millisecond)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, resp.StatusCode, path)
		if path == "/status" || path == "/debug/vars" {
			require.True(t, json.Valid(b), path)
		}
	}
	cancel()
	require.NoError(t, <-result)
}
