package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return ln
}

// freePort returns a port that is free at present.
func freePort() int {
	ln := listen()
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// Node is one process of the system.
type Node struct {
	Name, Front, Ready, Control, Directory string
	cmd                                    *exec.Cmd
	dir                                    string
	Exited                                 chan error
}

// nodeOptions are the parts of the settings that a case may change.
type nodeOptions struct {
	Memory    int
	Files     int
	Contracts []string
	Bounds    map[string]any
}

// newNode writes the settings of a process, as the platform does, and starts it with the command of the deploy file.
func newNode(dir, name, zone string, st *Store, o nodeOptions) *Node {
	n := &Node{Name: name, dir: dir}
	addr := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	n.Front, n.Ready, n.Control, n.Directory = addr(), addr(), addr(), addr()
	peer := freePort()
	if o.Memory == 0 {
		o.Memory = 284
	}
	if o.Files == 0 {
		o.Files = 4100
	}
	if o.Contracts == nil {
		o.Contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout", "platform"}
	}
	bounds := map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
		"configApplyMs": 2000, "revertSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 60,
		"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000,
		"recoveryS": 15, "ttl_max_s": 5, "probesPerS": 60,
	}
	for k, v := range o.Bounds {
		bounds[k] = v
	}
	settings := map[string]any{
		"nodeName": name, "role": "edge", "machineClass": "front", "serves": []string{"front", "control", "directory"}, "ip": "127.0.0.1",
		"zone": zone, "region": "luzon", "zones": map[string]string{"luz-a": "luzon", "luz-b": "luzon"},
		"listen":        map[string]string{"front": n.Front, "ready": n.Ready, "control": n.Control, "directory": n.Directory},
		"internalPorts": []int{peer, peer}, "seeds": []string{n.Control}, "bootstrap": true, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": o.Memory, "maxFds": o.Files, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": 1500, "contracts": o.Contracts,
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{"address": st.Addr(), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	check(err)
	check(os.WriteFile(filepath.Join(dir, name+".json"), b, 0o644))
	n.Start()
	return n
}

// Start starts the process.
func (n *Node) Start() {
	logFile, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	n.cmd = exec.Command("target/goldcreststand", "site")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSTAND_NODE_FILE=" + filepath.Join(n.dir, n.Name+".json")}
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.cmd.Start())
	exited := make(chan error, 1)
	n.Exited = exited
	cmd := n.cmd
	go func() { exited <- cmd.Wait(); close(exited); _ = logFile.Close() }()
}

func (n *Node) Signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// Kill ends the process if it runs.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.Exited
}

// Running reports whether the process has not ended.
func (n *Node) Running() bool {
	return n.cmd.ProcessState == nil && syscall.Kill(n.cmd.Process.Pid, 0) == nil
}

// RSS returns the resident memory of the process in MB.
func (n *Node) RSS() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, rss int
	_, _ = fmt.Sscan(string(b), &size, &rss)
	return rss * os.Getpagesize() >> 20
}

// AwaitReady waits until the process says that it is ready.
func (n *Node) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if get(n.Ready, "/goldcreststand/ready") == 200 {
			return true
		}
	}
	return false
}
