package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Bounds of the small sites.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	heartbeat   = 1500 * time.Millisecond
)

// instance is one process of the deployment.
type instance struct {
	name, zone, ip string
	cmd            *exec.Cmd
	log            *os.File
}

// deployment holds the addresses and processes of a small deployment on loopback.
type deployment struct {
	rec       *record
	root, dir string
	ports     map[string]int
	storeAddr string
	instances []*instance
}

var zones = []string{"rvk-a", "rvk-b", "rvk-c", "rvk-d"}

func zoneIP(z, group, n int) string { return fmt.Sprintf("127.%d.%d.%d", 101+z, group, n) }

// newDeployment reserves ports that are free at the moment.
func newDeployment(rec *record, root, dir string) (*deployment, error) {
	d := &deployment{rec: rec, root: root, dir: dir, ports: make(map[string]int)}
	for _, name := range []string{"front", "ready", "control", "directory", "peer", "store", "server"} {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		d.ports[name] = l.Addr().(*net.TCPAddr).Port
	}
	d.storeAddr = d.addr("127.200.1.7", "store")
	return d, nil
}

func (d *deployment) addr(ip, port string) string { return fmt.Sprintf("%s:%d", ip, d.ports[port]) }

// add adds an instance in a zone without starting it.
func (d *deployment) add(z, n int) *instance {
	i := &instance{name: fmt.Sprintf("front-%s-%d", zones[z], n), zone: zones[z], ip: zoneIP(z, 0, 34+n)}
	d.instances = append(d.instances, i)
	return i
}

func (d *deployment) settings(i *instance) map[string]any {
	var seeds []string
	for k, s := range d.instances {
		if k < 3 {
			seeds = append(seeds, d.addr(s.ip, "control"))
		}
	}
	region := map[string]string{}
	for _, z := range zones {
		region[z] = "is-reykjavik"
	}
	return map[string]any{
		"nodeName": i.name, "role": "edge", "machineClass": "front", "serves": []string{"front", "control", "directory"},
		"ip": i.ip, "zone": i.zone, "region": "is-reykjavik", "zones": region,
		"listen": map[string]string{
			"front": d.addr(i.ip, "front"), "ready": d.addr(i.ip, "ready"), "control": d.addr(i.ip, "control"), "directory": d.addr(i.ip, "directory"),
		},
		"internalPorts": []int{d.ports["peer"], d.ports["peer"]}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 2000, "revertSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 60,
			"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "warmupOvershoot": 1.5, "warmupSlack": 5, "evacuateMs": 5000,
			"recoveryS": 15, "ttl_max_s": 5, "probesPerS": 60,
		},
		"platform": map[string]any{
			"address": d.storeAddr, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
}

// start starts the process of an instance with the command of the deploy file.
func (d *deployment) start(i *instance) error {
	path := filepath.Join(d.dir, i.name+".json")
	b, err := json.MarshalIndent(d.settings(i), "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	if i.log == nil {
		if i.log, err = os.Create(filepath.Join(d.dir, i.name+".log")); err != nil {
			return err
		}
	}
	words := strings.Fields(runCommand)
	i.cmd = exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	i.cmd.Dir, i.cmd.Stdout, i.cmd.Stderr = d.root, i.log, i.log
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSTAND_NODE_FILE=" + path}
	d.rec.printf("instance %s starts", i.name)
	return i.cmd.Start()
}

// runCommand is the command of the role in the deploy file.
const runCommand = "target/goldcreststand site"

// stopAll ends all processes.
func (d *deployment) stopAll() {
	for _, i := range d.instances {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Kill()
			_ = i.cmd.Wait()
		}
	}
}

// ready reports whether the instance's readiness check succeeds.
func (d *deployment) ready(i *instance) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.addr(i.ip, "ready") + "/goldcreststand/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func (d *deployment) waitReady() bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, i := range d.instances {
			if d.ready(i) {
				n++
			}
		}
		if n == len(d.instances) {
			return true
		}
	}
	return false
}
