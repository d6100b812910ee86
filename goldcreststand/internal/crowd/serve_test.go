package crowd

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against SIGHUP, as at the end of a terminal, that ends an instance of the own front end with the calls in flight.
func TestServeDrainsAfterHangup(t *testing.T) {
	platform := httptest.NewServer(http.NotFoundHandler())
	defer platform.Close()
	p := &process{t: t, settings: filepath.Join(t.TempDir(), "a.toml")}
	p.chooseAddresses()
	require.NoError(t, os.WriteFile(p.settings, fmt.Appendf(nil, `
name = "a"
domain = "d"
[traffic]
address = %q
[peer]
address = %q
seeds = ["127.0.0.1:1"]
[admin]
address = %q
[platform]
url = %q
`, p.calls.String(), p.peers.String(), p.metrics.String(), platform.URL), 0o600))
	p.cmd = exec.Command(program, "serve", "-settings", p.settings)
	p.ended = make(chan error, 1)
	require.NoError(t, p.cmd.Start())
	go func() { p.ended <- p.cmd.Wait() }()
	defer func() { _ = p.cmd.Process.Kill() }()
	require.Eventually(t, func() bool {
		status, err := p.get(p.metrics, "/livez")
		return err == nil && status == http.StatusOK
	}, patience, 10*time.Millisecond)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.requireEnded()
}
