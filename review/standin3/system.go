package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the settings, those of the small deployments.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	drainTime   = 2 * time.Second
	evacTime    = 5 * time.Second
	grace       = 6 * time.Second
	beatTime    = 1500 * time.Millisecond
)

// machine is one machine with a process of the system.
type machine struct {
	name, zone, ip string
	front, ready   string
	lookup         string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// system is a small deployment on loopback addresses.
type system struct {
	dir      string
	start    time.Time
	mu       sync.Mutex
	out      *os.File
	st       *store
	machines []*machine
	backends []*backend
	ids      atomic.Int64
	runs     map[string][]string
	trouble  bool
	ports    [6]int
}

func newSystem() (*system, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, start: time.Now(), out: out, runs: map[string][]string{}, trouble: os.Getenv("TROUBLE") != "0"}
	// The ports are the same on all machines.
	for i := range s.ports {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		s.ports[i] = ln.Addr().(*net.TCPAddr).Port
	}
	s.st, err = newStore("127.0.0.1:0", s.logf)
	return s, err
}

// ip returns one of the loopback addresses of this run. Runs at the same time have others.
func (s *system) ip(n int) string { return fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, n) }

// logf writes a line to the record.
func (s *system) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f "+format+"\n", append([]any{time.Since(s.start).Seconds()}, args...)...)
}

func (s *system) addMachine(i int, zone string) *machine {
	ip := s.ip(10 + i)
	at := func(p int) string { return fmt.Sprintf("%s:%d", ip, s.ports[p]) }
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, ip: ip, front: at(0), ready: at(1), lookup: at(3)}
	s.machines = append(s.machines, m)
	return m
}

func (s *system) settings(m *machine, bootstrap bool) string {
	var seeds []string
	for _, x := range s.machines[:min(3, len(s.machines))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", x.ip, s.ports[2]))
	}
	v := map[string]any{
		"nodeName": m.name, "role": "edge", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ip": m.ip, "zone": m.zone, "region": "luzon", "zones": map[string]string{"luz-a": "luzon", "luz-b": "luzon"},
		"listen":        map[string]string{"front": m.front, "ready": m.ready, "control": fmt.Sprintf("%s:%d", m.ip, s.ports[2]), "directory": m.lookup},
		"internalPorts": []int{s.ports[4], s.ports[4] + 1}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": beatTime.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 2000, "revertSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 60,
			"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000,
			"recoveryS": 15, "ttl_max_s": 5, "probesPerS": 60,
		},
		"platform": map[string]any{"address": s.st.addr, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	b, _ := json.MarshalIndent(v, "", "  ")
	path := filepath.Join(s.dir, m.name+".json")
	_ = os.WriteFile(path, b, 0o600)
	return path
}

// startProcess starts the program with the command of the deploy file.
func (s *system) startProcess(m *machine, bootstrap bool) error {
	log, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/goldcreststand", "site")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSTAND_NODE_FILE=" + s.settings(m, bootstrap)}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	cmd, exited := m.cmd, m.exited
	go func() {
		err := cmd.Wait()
		s.logf("%s: process ended: %v", m.name, err)
		_ = log.Close()
		close(exited)
	}()
	s.logf("%s: process started", m.name)
	return nil
}

// end ends all processes and servers, and removes the temporary folder.
func (s *system) end() {
	for _, m := range s.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	for _, b := range s.backends {
		b.stop()
	}
	s.st.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// awaitReady waits until all machines say that they are ready.
func (s *system) awaitReady(ms ...*machine) bool {
	until := time.Now().Add(15 * time.Second)
	for _, m := range ms {
		for {
			resp, err := quick.Get("http://" + m.ready + "/goldcreststand/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// answer is what a client got.
type answer struct {
	id     string
	sent   time.Time
	status int
	body   string
	err    error
}

// send sends one request of a client on a new connection.
func (s *system) send(m *machine, method, host, path string, timeout time.Duration) answer {
	id := fmt.Sprintf("%016x", s.ids.Add(1))
	a := answer{id: id, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, nil)
	r.Host = host
	r.Header.Set("X-Goldcreststand-Request-Id", id)
	r.Header.Set("X-Goldcreststand-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(b), err
	return a
}

func (s *system) onRun(b *backend, r *http.Request) {
	id := r.Header.Get("X-Goldcreststand-Request-Id")
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], b.id)
	s.mu.Unlock()
	s.logf("run: %s %s %s at %s of %s in %s", id, r.Method, r.URL.Path, b.id, b.service, b.zone)
}

// ranAt returns the servers that ran the request.
func (s *system) ranAt(id string) []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*backend
	for _, b := range s.backends {
		for _, n := range s.runs[id] {
			if n == b.id {
				out = append(out, b)
			}
		}
	}
	return out
}

// rule is a route of the configuration.
type rule struct {
	prefix, service, kind string
}

// config returns the content of config/main.
func config(version int, rules ...rule) map[string]any {
	var rs []any
	for i, r := range rules {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "targetLatencyMs": 200, "priority": 1, "match": map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutMs": 1000, "maxAttempts": 2},
		})
	}
	cluster := func(n string) map[string]any {
		return map[string]any{"name": n, "healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 15.0}
	}
	return map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []any{map[string]any{"host": "desk.example", "rules": rs}},
		"clusters":  []any{cluster("inventory"), cluster("dispatch")},
	}
}
