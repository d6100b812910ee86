package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is the memory of a machine, 284 MB.
	memoryLimit = 284 << 20
	// bodySize is the size of a long body. The configuration allows 64 MiB.
	bodySize = 60 << 20
	// linkRate is the rate, in bytes a second, at which requesters send long bodies to one machine, all together. Its link has
	// 1,000 Mbit/s.
	linkRate = 110e6
	// rounds is the number of times that long bodies are sent to each of two machines.
	rounds = 4
	// restartDelay is the time after which the platform starts a process that ended.
	restartDelay = 300 * time.Millisecond
)

// memoryWatch is the platform's watch on the memory of an instance: a process over the limit is killed and started again.
type memoryWatch struct {
	d    *deployment
	i    *instance
	mu   sync.Mutex
	most int
	ends int
}

func (m *memoryWatch) run(ctx context.Context) error {
	for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		n := anonymousMemory(m.i.cmd.Process.Pid)
		m.mu.Lock()
		m.most = max(m.most, n)
		m.mu.Unlock()
		if n <= memoryLimit {
			continue
		}
		_ = m.i.cmd.Process.Signal(syscall.SIGKILL)
		_ = m.i.cmd.Wait()
		m.mu.Lock()
		m.ends++
		m.mu.Unlock()
		m.d.rec.say("the process of %s has %d MB, over the limit of %d MB, and is killed", m.i.name, n>>20, memoryLimit>>20)
		time.Sleep(restartDelay)
		if ctx.Err() != nil {
			return nil
		}
		if err := m.d.start(m.i); err != nil {
			return err
		}
	}
	return nil
}

// anonymousMemory returns the memory of a process without files, in bytes.
func anonymousMemory(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb << 10
		}
	}
	return 0
}

// pacedBody is a body that is sent at a steady rate.
type pacedBody struct {
	left int
	rate float64
	next time.Time
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Until(b.next))
	n := min(len(p), b.left, 32<<10)
	b.next = b.next.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	b.left -= n
	return n, nil
}

// largeBodies sends two requests with long bodies to a machine at once, or one after the other without the trouble.
func largeBodies(d *deployment, trouble bool) (bool, error) {
	st, err := newStore(d.rec, d.storeAddr)
	if err != nil {
		return false, err
	}
	rs := newRuns()
	const service = "huvo11a"
	if _, err := startServers(d, st, rs, service, "v1", 64, 18, 3, 120*time.Millisecond, none); err != nil {
		return false, err
	}
	register := rule{name: "r-register", kind: "unsafe", prefix: "/pufi791/", service: service, priority: 1, target: 300 * time.Millisecond, timeout: 800 * time.Millisecond}
	upload := rule{name: "r-upload", kind: "unsafe", prefix: "/lohu930/", service: service, priority: 2, target: 1500 * time.Millisecond, timeout: 2500 * time.Millisecond}
	st.put("config", "main", config(7, []string{service}, register, upload))
	for z := range zones {
		if err := d.start(d.add(z, 1)); err != nil {
			return false, err
		}
	}
	if !d.waitReady() {
		return false, errRun{fmt.Errorf("instances are not ready")}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var watches []*memoryWatch
	for _, i := range d.instances {
		m := &memoryWatch{d: d, i: i}
		watches = append(watches, m)
		go func() { _ = m.run(ctx) }()
	}
	time.Sleep(5 * time.Second)
	q := newRequesters(d, host)
	for _, i := range d.instances {
		q.send(ctx, i, register.method(), register.prefix, register.limit(), 40*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for round := range rounds {
		var wg sync.WaitGroup
		for _, i := range d.instances[:2] {
			wg.Go(func() {
				if trouble {
					var both sync.WaitGroup
					for range 2 {
						both.Go(func() { q.upload(i, upload, linkRate/2) })
					}
					both.Wait()
					return
				}
				for range 2 {
					q.upload(i, upload, linkRate)
				}
			})
		}
		wg.Wait()
		d.rec.say("round %d of long bodies is over", round+1)
		time.Sleep(4 * time.Second)
	}
	stop()
	q.wg.Wait()

	ended := 0
	for _, m := range watches {
		m.mu.Lock()
		d.rec.say("%s: at most %d MB of %d MB; killed %d times", m.i.name, m.most>>20, memoryLimit>>20, m.ends)
		if m.ends >= 3 {
			ended++
		}
		m.mu.Unlock()
	}
	lost := 0
	for _, a := range q.answers {
		if a.status == 0 && a.kept && !a.timedOut && len(rs.of(a.id)) > 0 {
			lost++
			d.rec.printf("BROKEN: request %s was passed on to a server by %s, and its kept connection ended without an answer: %v", a.id, a.instance, a.err)
		}
	}
	d.rec.say("requests from kept connections that were passed on to a server and got no answer: %d (allowed 3)", lost)
	d.rec.say("machines whose process ended three times: %d (Fault: two)", ended)
	return lost > 3, nil
}

// upload sends one request with a long body.
func (q *requesters) upload(i *instance, r rule, rate float64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	id := newID()
	req, err := http.NewRequestWithContext(ctx, r.method(), "http://"+q.d.addr(i.ip, "front")+r.prefix+"2f", &pacedBody{left: bodySize, rate: rate, next: time.Now()})
	if err != nil {
		panic(err)
	}
	req.ContentLength, req.Host = bodySize, q.host
	req.Header.Set("X-Goldcreststand-Request-Id", id)
	req.Header.Set("X-Goldcreststand-Deadline-Ms", fmt.Sprint(r.timeout.Milliseconds()))
	sent, status := time.Now(), 0
	resp, err := q.client.Do(req)
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	q.d.rec.say("request %s on %s with a body of %d MB sent to %s: status %d after %.2f s, error %v", id, r.prefix, bodySize>>20, i.name, status, time.Since(sent).Seconds(), err)
}
