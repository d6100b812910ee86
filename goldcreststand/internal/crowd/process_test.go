package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Host, path prefix and limits of the tests' configuration. The limits of sizes are those of the users' deployments, but
// the one of bodies is lower, so that a body beyond it is sent quickly.
const (
	callHost  = "host.example"
	callPath  = "/call/"
	otherPath = "/none/"
	maxHeader = 16 << 10
	maxBody   = 4 << 20
)

// reservedFiles is the number of descriptors of an instance that connections must not take.
const reservedFiles = 200

// patience bounds a step of a test. It is far longer than the step takes.
const patience = 30 * time.Second

// limits are the limits of an instance's machine, and that of bodies in the configuration.
type limits struct{ memoryMB, maxFiles, maxBody int }

// deployment is what instances run beside: a store, and a backend server for each service.
type deployment struct {
	store    *fakeStore
	backends []*fakeBackend
	// grace is the time in seconds between SIGTERM and SIGKILL.
	grace float64
}

// newDeployment starts a store with the configuration, and backend servers with a number of slots.
func newDeployment(t *testing.T, cfg map[string]any, slots int) deployment {
	d := deployment{store: newFakeStore(t), grace: 2}
	d.store.put("config", "main", cfg)
	for n, service := range []string{"svc", "other"} {
		id := fmt.Sprintf("server-%d", n+1)
		b := newFakeBackend(t, id, slots)
		d.backends = append(d.backends, b)
		d.store.put("servers", id, map[string]any{
			"service": service, "address": b.address(), "zone": "zone-a", "version": "v1", "slots": slots,
			"state": "ready", "warmupLeftMs": 0, "seq": 1, "born": 1,
		})
	}
	return d
}

// hasSeen reports whether a call has reached a backend server.
func (d *deployment) hasSeen(id string) bool {
	return slices.ContainsFunc(d.backends, func(b *fakeBackend) bool { return b.hasSeen(id) })
}

// answeredAt returns the time at which a backend server answered a call, or zero.
func (d *deployment) answeredAt(id string) (at time.Time) {
	for _, b := range d.backends {
		if t := b.answeredAt(id); t.After(at) {
			at = t
		}
	}
	return at
}

// process is a running instance.
type process struct {
	t      *testing.T
	limits limits
	// settings is the path of the settings file.
	settings string
	// env holds variables of the environment.
	env []string
	// output replaces log unless it is nil.
	output *os.File
	cmd    *exec.Cmd
	log    *bytes.Buffer
	ended  chan error
	// Addresses of the instance.
	calls, ready, lookup, metrics, peers netip.AddrPort
	// mostFiles is the largest number of open descriptors that was seen.
	mostFiles int
}

// start starts an instance beside a store and a backend server, and waits until it serves calls.
func start(t *testing.T, l limits) *process {
	p := prepare(t, l, newDeployment(t, configuration(l.maxBody), 4))
	p.serve()
	return p
}

// prepare returns an instance that has not started.
func prepare(t *testing.T, l limits, d deployment) *process {
	p := &process{t: t, limits: l, env: []string{maxFilesVariable + "=" + strconv.Itoa(l.maxFiles)}}
	p.chooseAddresses()
	p.settings = filepath.Join(t.TempDir(), "settings.json")
	p.writeSettings(d)
	return p
}

// serve starts the process and waits until it serves calls.
func (p *process) serve() {
	p.run()
	require.Eventually(p.t, func() bool {
		status, err := p.get(p.ready, "/goldcreststand/ready")
		return err == nil && status == http.StatusOK
	}, patience, 10*time.Millisecond, "the instance does not become ready")
	p.requireOrdinaryCall()
}

// configuration returns a configuration with one route.
func configuration(maxBody int) map[string]any {
	return map[string]any{
		"version":   "00000001",
		"limits":    map[string]any{"maxHeaderBytes": maxHeader, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []any{map[string]any{"host": callHost, "rules": []any{rule("route", "safe", callPath)}}},
		"clusters":  []any{cluster("svc"), cluster("other")},
	}
}

func rule(name, kind, prefix string) map[string]any {
	return map[string]any{
		"name": name, "kind": kind, "targetLatencyMs": 500, "priority": 1,
		"match":  map[string]any{"pathPrefix": prefix},
		"action": map[string]any{"service": "svc", "timeoutMs": 5000, "maxAttempts": 2},
	}
}

func cluster(service string) map[string]any {
	return map[string]any{
		"name": service, "healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 7.4,
	}
}

// Ports of instances. They are below those that Linux gives to outgoing connections, which could take the port of an instance
// that is down.
const (
	firstPort = 12000
	lastPort  = 31999
)

// chooseAddresses chooses ports that are free at the moment.
func (p *process) chooseAddresses() {
	for _, a := range []*netip.AddrPort{&p.calls, &p.ready, &p.lookup, &p.metrics, &p.peers} {
		ln := listenAnywhere(p.t)
		defer func() { _ = ln.Close() }()
		*a = netip.MustParseAddrPort(ln.Addr().String())
	}
}

// listenAnywhere listens on a free port for instances.
func listenAnywhere(t *testing.T) net.Listener {
	const attempts = 100
	var err error
	for range attempts {
		var ln net.Listener
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1))); err == nil {
			return ln
		}
	}
	require.NoError(t, err)
	return nil
}

// writeSettings writes the settings file.
func (p *process) writeSettings(d deployment) {
	b, err := json.Marshal(map[string]any{
		"nodeName": fmt.Sprintf("instance-%d", p.calls.Port()), "zone": "zone-a", "region": "region-a", "ip": p.peers.Addr().String(),
		"listen":        map[string]any{"front": p.calls, "ready": p.ready, "directory": p.lookup, "control": p.metrics},
		"internalPorts": []uint16{p.peers.Port(), p.peers.Port()},
		"platform":      map[string]any{"address": d.store.address()},
		"bounds": map[string]any{
			"graceS": d.grace, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 60, "ttl_max_s": 5, "probesPerS": 1000,
		},
		"limits": map[string]any{"memoryMb": p.limits.memoryMB, "maxFds": p.limits.maxFiles},
	})
	require.NoError(p.t, err)
	require.NoError(p.t, os.WriteFile(p.settings, b, 0o600))
}

// run starts the process and ends it with the test.
func (p *process) run() {
	self, err := os.Executable()
	require.NoError(p.t, err)
	p.log, p.ended = new(bytes.Buffer), make(chan error, 1)
	cmd, log, ended := exec.Command(self, program, "site", "-settings", p.settings), p.log, p.ended
	p.cmd = cmd
	p.cmd.Env = p.env
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if p.output != nil {
		p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	}
	require.NoError(p.t, p.cmd.Start())
	go func() { ended <- cmd.Wait() }()
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		if err := <-ended; p.t.Failed() {
			p.t.Logf("the process ended: %v; its last lines:\n%s", err, log.Bytes()[max(0, log.Len()-2000):])
		}
	})
}

// get sends a request on a new connection and returns the status of the response.
func (p *process) get(to netip.AddrPort, path string) (int, error) {
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodGet, "http://"+to.String()+path, nil)
	if err != nil {
		return 0, err
	}
	r.Host, r.Close = callHost, true
	r.Header.Set("X-Goldcreststand-Request-Id", "ordinary")
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// requireOrdinaryCall requires that a call is served. It may be refused before.
func (p *process) requireOrdinaryCall() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		status, err := p.get(p.calls, callPath)
		return err == nil && status == http.StatusOK
	}, patience, 50*time.Millisecond, "an ordinary call is not served")
}

// requireReadyAnswer requires that the instance answers its readiness check.
func (p *process) requireReadyAnswer() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		status, err := p.get(p.ready, "/goldcreststand/ready")
		return err == nil && status == http.StatusOK
	}, patience, 50*time.Millisecond, "the readiness check is not answered")
}

// requireWithinLimits requires that the process lives and has stayed within its memory and descriptors.
func (p *process) requireWithinLimits() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		require.FailNow(p.t, "the process has ended")
	default:
	}
	kb := p.status("VmHWM")
	p.sampleFiles()
	p.t.Logf("most memory %d MB of %d, most descriptors %d of %d", kb>>10, p.limits.memoryMB, p.mostFiles, p.limits.maxFiles)
	require.LessOrEqual(p.t, kb, p.limits.memoryMB<<10, "memory in kB")
	require.LessOrEqual(p.t, p.mostFiles, p.limits.maxFiles-reservedFiles, "open descriptors")
}

// requireCleanEnd requires that the process ends by itself, without an error, when it is asked to.
func (p *process) requireCleanEnd() {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.requireEnded()
}

// requireEnded requires that the process ends by itself, without an error.
func (p *process) requireEnded() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		require.NoError(p.t, err)
	case <-time.After(patience):
		require.FailNow(p.t, "the process does not end")
	}
}

// suspend lets the process have no processor time until the returned function is called.
func (p *process) suspend() (resume func()) {
	running := p.cmd.Process
	_ = running.Signal(syscall.SIGSTOP)
	return func() { _ = running.Signal(syscall.SIGCONT) }
}

// throttle lets the process run for a part of the time, as on a machine with a cap of processor time, until the returned function
// is called.
func (p *process) throttle(run, pause time.Duration) (release func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(run):
			}
			resume := p.suspend()
			time.Sleep(pause)
			resume()
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// status returns a figure in kB of the process's memory.
func (p *process) status(field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	_, rest, found := strings.Cut(string(b), field+":")
	require.True(p.t, found, "the process has ended")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(p.t, err)
	return kb
}

// sampleFiles records the number of open descriptors.
func (p *process) sampleFiles() {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err == nil {
		p.mostFiles = max(p.mostFiles, len(entries))
	}
}

// processorTime returns the ticks of processor time that the process has used.
func (p *process) processorTime() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	var ticks int
	for _, i := range []int{11, 12} {
		n, _ := strconv.Atoi(fields[i])
		ticks += n
	}
	return ticks
}

// settle waits until the process has handled what it has received: until it has used hardly any processor time for
// several samples, or for two seconds at most.
func (p *process) settle() {
	const interval, samples = 50 * time.Millisecond, 6
	recent := make([]int, 0, 128)
	for range 40 {
		recent = append(recent, p.processorTime())
		p.sampleFiles()
		if n := len(recent); n > samples && recent[n-1]-recent[n-1-samples] <= 1 {
			return
		}
		time.Sleep(interval)
	}
}

// entryPoint is an address of an instance with a path.
type entryPoint struct {
	name string
	path string
	at   func(p *process) netip.AddrPort
}

// httpEntryPoints returns the entry points that speak HTTP.
func httpEntryPoints() []entryPoint {
	return []entryPoint{
		{"calls", callPath, func(p *process) netip.AddrPort { return p.calls }},
		{"calls without a route", otherPath, func(p *process) netip.AddrPort { return p.calls }},
		{"lookups", "/goldcreststand/resolve?zone=zone-a", func(p *process) netip.AddrPort { return p.lookup }},
		{"readiness", "/goldcreststand/ready", func(p *process) netip.AddrPort { return p.ready }},
		{"metrics", "/debug/vars", func(p *process) netip.AddrPort { return p.metrics }},
	}
}

// entryPoints returns all entry points.
func entryPoints() []entryPoint {
	return slices.Concat(httpEntryPoints(), []entryPoint{{"other instances", "/", func(p *process) netip.AddrPort { return p.peers }}})
}
