package cmd

import (
	"context"
	"io"
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

// Guards against a graceful shutdown that does not announce the leave, returns an error or does not end.
func TestShutdownLeavesFirst(t *testing.T) {
	platform := httptest.NewServer(nil)
	defer platform.Close()
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
address = "127.0.0.1:0"
[platform]
url = "`+platform.URL+`"
`), 0o600))
	s, err := loadSettings(file)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := newDaemon(s, clockwork.NewRealClock(), log)
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
