package crowd

import (
	"fmt"
	"io"
	"net"
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

// startServe starts an instance of the own front end, which logs to the file, if any, and waits until it answers.
func startServe(t *testing.T, log *os.File) *process {
	platform := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(platform.Close)
	p := &process{t: t, settings: filepath.Join(t.TempDir(), "a.toml"), ended: make(chan error, 1)}
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
	if log != nil {
		p.cmd.Stderr = log
	}
	require.NoError(t, p.cmd.Start())
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.requireAdminAnswer()
	return p
}

// requireAdminAnswer requires that the instance answers operators.
func (p *process) requireAdminAnswer() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		status, err := p.get(p.metrics, "/livez")
		return err == nil && status == http.StatusOK
	}, patience, 10*time.Millisecond)
}

// Guards against SIGHUP, as at the end of a terminal, that ends an instance of the own front end with the calls in flight.
func TestServeDrainsAfterHangup(t *testing.T) {
	p := startServe(t, nil)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	p.requireEnded()
}

// Guards against an instance of the own front end whose calls and planned stops wait for a log that nobody reads.
func TestServeDoesNotWaitForItsLog(t *testing.T) {
	const lines = 2000
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _, _ = r.Close(), w.Close() }()
	p := startServe(t, w)
	for range lines {
		nc, err := net.Dial("tcp", p.calls.String())
		require.NoError(t, err)
		require.NoError(t, nc.SetDeadline(time.Now().Add(patience)))
		// Invalid requests are logged.
		_, _ = io.WriteString(nc, "GET / HTTP/1.1\r\n\r\n")
		_, err = io.ReadAll(nc)
		require.NoError(t, err)
		require.NoError(t, nc.Close())
	}
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.requireEnded()
}
